"""Run tasks of a task loop in tests."""

from concurrent.futures import Future

from jayshunt.task_loop import Steps, TaskLoop

WAIT_S = 10.0


def run_in_loop(*tasks: Steps):
    """Run tasks in a loop of their own; return the result of the first.

    Raise what the first raises, after all have ended.
    """
    loop = TaskLoop("test")
    loop.start()
    futures = [_spawn(loop, steps) for steps in tasks]
    try:
        for future in futures:
            future.exception(WAIT_S)
        return futures[0].result()
    finally:
        loop.stop()


def _spawn(loop: TaskLoop, steps: Steps) -> Future:
    future: Future = Future()

    def run() -> Steps:
        try:
            future.set_result((yield from steps))
        except Exception as error:
            future.set_exception(error)

    loop.spawn(run)
    return future
