"""Run connections on threads that end after a crowd of callers has left."""

import queue
import threading
from collections.abc import Callable

from jayshunt.serving.const import KEPT_THREADS, THREAD_IDLE_S

Job = Callable[[], None]


class WorkerPool:
    """Threads that take jobs; one that had none for THREAD_IDLE_S ends.

    KEPT_THREADS stay, so that single requests start no threads. The thread that became
    idle last takes the next job, so that few callers keep few threads. The caller of
    `submit` bounds how many jobs run at a time.
    """

    def __init__(self, name: str) -> None:
        """Start without threads."""
        self._name = name
        self._lock = threading.Lock()
        self._idle: dict[queue.SimpleQueue, None] = {}
        self._threads: set[threading.Thread] = set()
        self._is_stopped = False

    @property
    def thread_count(self) -> int:
        """Return the number of threads, idle ones included."""
        return len(self._threads)

    def submit(self, job: Job) -> None:
        """Run a job; raise RuntimeError if no thread can be started."""
        with self._lock:
            if self._idle:
                inbox, _ = self._idle.popitem()
                inbox.put(job)
                return
            thread = threading.Thread(
                target=self._run, args=(job,), name=self._name, daemon=True
            )
            self._threads.add(thread)
        try:
            thread.start()
        except BaseException:
            with self._lock:
                self._threads.discard(thread)
            raise

    def stop(self) -> None:
        """Wait until the running jobs have ended, and end all threads."""
        with self._lock:
            self._is_stopped = True
            for inbox in self._idle:
                inbox.put(None)
            self._idle.clear()
            threads = list(self._threads)
        for thread in threads:
            thread.join()

    def _run(self, job: Job | None) -> None:
        inbox: queue.SimpleQueue = queue.SimpleQueue()
        try:
            while job is not None:
                job()
                # The job holds a connection, which would stay open meanwhile.
                job = None
                job = self._next(inbox)
        finally:
            with self._lock:
                self._threads.discard(threading.current_thread())

    def _next(self, inbox: queue.SimpleQueue) -> Job | None:
        with self._lock:
            if self._is_stopped:
                return None
            self._idle[inbox] = None
        while True:
            try:
                return inbox.get(timeout=THREAD_IDLE_S)
            except queue.Empty:
                with self._lock:
                    # Otherwise a job was given to this thread after its wait had ended.
                    if inbox in self._idle and len(self._threads) > KEPT_THREADS:
                        del self._idle[inbox]
                        self._threads.discard(threading.current_thread())
                        return None
