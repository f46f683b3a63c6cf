"""Count what an entry does, in the text format of Prometheus."""

import threading
from collections import Counter


class EntryMetrics:
    """Own the counters of one entry."""

    def __init__(self, store, link) -> None:
        """Start at zero."""
        self._store = store
        self._link = link
        self._lock = threading.Lock()
        self._answers: Counter[tuple[str, int]] = Counter()

    def answered(self, kind: str, status: int) -> None:
        """Count one answer to a caller."""
        with self._lock:
            self._answers[kind, status] += 1

    def render(self) -> bytes:
        """Return every counter as text."""
        lines = ["# TYPE jayshunt_answers_total counter"]
        with self._lock:
            for (kind, status), count in sorted(self._answers.items()):
                labels = f'method="{kind}",status="{status}"'
                lines.append(f"jayshunt_answers_total{{{labels}}} {count}")
        lines.append("# TYPE jayshunt_store_calls_total counter")
        for call, count in sorted(self._store.calls.items()):
            lines.append(f'jayshunt_store_calls_total{{call="{call}"}} {count}')
        dispatcher = self._link.own_dispatcher
        if dispatcher is not None:
            lines.append("# TYPE jayshunt_runs_total counter")
            for name, count in sorted(dispatcher.book.counts.items()):
                lines.append(f'jayshunt_runs_total{{what="{name}"}} {count}')
        return ("\n".join(lines) + "\n").encode()
