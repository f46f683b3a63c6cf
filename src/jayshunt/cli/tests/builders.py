"""Build answers of entries."""


def build_explanation(**changes) -> dict:
    """Return the explanation of a job that would start at once on one worker."""
    fields = {
        "queue": "quotes",
        "pool": "desk",
        "is_accepted": True,
        "reason": "",
        "retry_after_s": None,
        "workers": [{"worker": "i-1", "vm": "vm-1", "rack": "r1", "tasks": 1}],
        "waiting_tasks": 0,
        "waits_for": "",
        "others": [
            {"worker": "i-2", "vm": "vm-2", "free": "1m/1M/0", "reason": "no room"}
        ],
        "others_left_out": 3,
        "moves": [{"vm": "vm-3", "pool": "desk", "is_begun": False}],
        "start_in_s": 0.0,
        "end_in_s": 1.0,
        "objective_s": 2.0,
        "config_version": 4,
        "list_age_s": 0.3,
        "answer_age_s": 0.2,
        "is_in_time": True,
    }
    return {**fields, **changes}
