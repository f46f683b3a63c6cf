"""Build entries of the store as another program may write them, for tests."""

import json

from hypothesis import strategies as st

DEPTH = 100_000

# JSON texts of values that no field has. Some are refused by decoders, and some by the
# checks of a field.
ODD_TEXTS = (
    "[" * DEPTH,
    '{"a":' * DEPTH,
    "[" * 150 + "]" * 150,
    "1e999",
    "-1e999",
    "NaN",
    "9" * 5_000,
    str(2**63),
    "-1",
    "0.5",
    "null",
    "true",
    "7",
    "[]",
    "[[]]",
    "[1]",
    "{}",
    '{"a":[]}',
    '""',
    '"x"',
    '"\\u0000\\r\\n"',
    '"a\\r\\nHost: b"',
    '"\\ud800"',
    '"caf\\u00e9"',
    json.dumps("long" * 5_000),
    '"127.0.0.1:65536"',
    '"127.0.0.1:-1"',
    '"127.0.0.1:1e3"',
    '"[::1:80"',
    '"http://a/b:80"',
    '":80"',
)
ODD_NAMES = ("", "w\r\nHost: b", "caf\u00e9", "w" * 190, "a/b", "\u0000", "9" * 180)

WORKER = {
    "service": "desk",
    "address": "127.0.0.1:1",
    "zone": "ash",
    "state": "ready",
    "capacity": {"cpu": 64_000, "memMb": 262_144, "gpu": 0},
    "labels": ["r1-1"],
    "machine": "vm-odd",
    "born": 1,
    "seq": 4,
}
WAVE = {"wave": 9, "machines": ["vm-w1"], "deadlineS": 20, "maxCount": 1}
CONFIG = {
    "version": 7,
    "routes": [{"name": "q", "host": "h", "prefix": "/q/", "service": "desk"}],
    "services": [{"name": "desk", "spare": False}],
}
MACHINE = {
    "machine": "vm-odd",
    "pool": "desk",
    "state": "up",
    "zone": "ash",
    "labels": ["r1-1"],
    "capacity": {"cpu": 1, "memMb": 1, "gpu": 0},
    "id": "i-odd",
}
JOB = {
    "queue": "quotes",
    "payload": "text",
    "steps": [{"task_count": 1, "resources": {"cpu_millicores": 1}}],
    "accepted_at_s": 1.5,
    "pool": "desk",
    "priority": 0,
    "max_failures": 2,
    "stretch": 1.6,
    "target_latency_ms": 600,
}
PROGRESS = {
    "state": "running",
    "done": {"0.0": [0]},
    "failures": {"0.0.0": [16]},
    "checkpoints": {"0.0.0": "c"},
    "crashes": {"0.0.0": {"at_start": 1}},
}
TERM = {
    "entry": "entry-9",
    "host": "127.0.0.1",
    "port": 1,
    "incarnation": "abc",
    "lease": "5",
}
SUSPICION = {"token": 5, "entry": "entry-9", "zone": "ash", "is_ended": False}
STORED_WAVE = {"done": ["vm-w1"], "completed": False}


def with_field(entry: dict, path: tuple, text: str) -> bytes:
    """Return an entry as JSON, with a text in place of the value at a path."""
    mark = "@odd@"
    copy = json.loads(json.dumps(entry))
    place = copy
    for name in path[:-1]:
        place = place[name]
    place[path[-1]] = mark
    return json.dumps(copy).replace(f'"{mark}"', text).encode()


def paths_of(entry: object, start: tuple = ()) -> list[tuple]:
    """Return the path of each value in an entry, at any depth."""
    rows = (
        entry.items()
        if isinstance(entry, dict)
        else enumerate(entry) if isinstance(entry, list) else ()
    )
    found: list[tuple] = []
    for name, value in rows:
        found += [(*start, name), *paths_of(value, (*start, name))]
    return found


def odd_entries(entry: dict) -> st.SearchStrategy[bytes]:
    """Return a strategy of entries with an odd field, or that are no entry at all."""
    fields = st.builds(
        with_field,
        st.just(entry),
        st.sampled_from(paths_of(entry)),
        st.sampled_from(ODD_TEXTS),
    )
    texts = st.sampled_from([text.encode() for text in ODD_TEXTS])
    return st.one_of(fields, texts, st.binary(max_size=40))


def all_odd_entries(entry: dict) -> list[bytes]:
    """Return each odd value in each field of an entry."""
    return [
        with_field(entry, path, text) for path in paths_of(entry) for text in ODD_TEXTS
    ]
