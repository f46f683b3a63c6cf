"""Format the explanation of where a job would be placed as text."""

from collections.abc import Iterator


def where_lines(found: dict) -> Iterator[str]:
    """Yield the lines of an explanation, with problems in capitals."""
    yield f"queue {found['queue']}, pool {found['pool']}: {_verdict(found)}"
    verdict = "in time" if found["is_in_time"] else "TOO LATE"
    yield (
        f"start in {found['start_in_s']:.2f} s, end in {found['end_in_s']:.2f} s, "
        f"objective {found['objective_s']:.2f} s: {verdict}"
    )
    if found["workers"]:
        yield ""
        yield f"{'worker':<24}{'VM':<20}{'rack':<12}{'tasks':>6}"
    for item in found["workers"]:
        yield (
            f"{item['worker']:<24}{item['vm']:<20}{item['rack']:<12}"
            f"{item['tasks']:>6}"
        )
    if found["waits_for"]:
        yield f"{found['waiting_tasks']} ready tasks WAIT for: {found['waits_for']}"
    yield from _other_lines(found)
    if found["moves"]:
        yield ""
    for item in found["moves"]:
        state = "is moving" if item["is_begun"] else "would move"
        yield f"VM {item['vm']} {state} to {item['pool']}"
    yield ""
    yield _age(found)


def _verdict(found: dict) -> str:
    if found["is_accepted"]:
        return "accepted"
    retry = ""
    if found["retry_after_s"] is not None:
        retry = f", retry after {found['retry_after_s']:g} s"
    return f"REFUSED, {found['reason']}{retry}"


def _other_lines(found: dict) -> Iterator[str]:
    if not found["others"]:
        return
    yield ""
    yield f"{'not on':<24}{'VM':<20}{'free':<24}because"
    for item in found["others"]:
        yield (
            f"{item['worker']:<24}{item['vm']:<20}{item['free']:<24}{item['reason']}"
        )
    if found["others_left_out"]:
        yield f"and {found['others_left_out']} more workers"


def _age(found: dict) -> str:
    answers = "no worker answered"
    if found["answer_age_s"] is not None:
        answers = f"answers of workers up to {found['answer_age_s']:.2f} s"
    return (
        f"age of this view: list of workers {found['list_age_s']:.2f} s, {answers}; "
        f"configuration {found['config_version']}"
    )
