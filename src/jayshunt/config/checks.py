"""Check whether a configuration breaks an availability budget or a target."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from jayshunt.config.models import ConfigDocument, Problem
from jayshunt.ids import ClassName, PoolName

Check = Callable[[ConfigDocument], Iterable[Problem]]


@dataclass(frozen=True)
class PoolCount:
    """Number of VMs of a pool that the platform lists, and how many are live."""

    listed: int
    live: int


def budget_check(count_vms: Callable[[PoolName], PoolCount]) -> Check:
    """Return a check that each pool's availability budget is satisfiable.

    A budget above the present number of live VMs would be violated at once. A
    ratio of 1 would be violated by the first maintenance or failure, so it is
    rejected. A lower ratio that rounds up to every VM of a small pool is allowed.
    """

    def check(document: ConfigDocument) -> Iterable[Problem]:
        for name, pool in document.pools.items():
            count = count_vms(name)
            path = f"pools.{name}.min_available_ratio"
            if count.listed and pool.min_available_ratio >= 1:
                yield Problem(path, "1.0 leaves no VM to maintain; use less")
            elif count.live < pool.min_available_ratio * count.listed:
                yield Problem(
                    path,
                    f"{pool.min_available_ratio} cannot hold: {count.live} of "
                    f"{count.listed} VMs are live",
                )

    return check


def target_check(fastest_ms: Callable[[ClassName], float | None]) -> Check:
    """Return a check that no target is below the fastest observed response."""

    def check(document: ConfigDocument) -> Iterable[Problem]:
        for name, work_class in document.classes.items():
            observed_ms = fastest_ms(name)
            if observed_ms is None or work_class.target_ms is None:
                continue
            if work_class.target_ms < observed_ms:
                yield Problem(
                    f"classes.{name}.target_ms",
                    f"{work_class.target_ms} ms is below the fastest response seen "
                    f"({observed_ms:.1f} ms)",
                )

    return check


def new_problems(
    checks: Iterable[Check], before: ConfigDocument, after: ConfigDocument
) -> tuple[Problem, ...]:
    """Return the problems of `after` that `before` does not have.

    Existing problems, for example after a loss of VMs, must not block an unrelated
    change.
    """
    checks = tuple(checks)
    known = {problem for check in checks for problem in check(before)}
    found = (problem for check in checks for problem in check(after))
    return tuple(problem for problem in found if problem not in known)
