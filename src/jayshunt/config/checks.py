"""Check whether a configuration would break a guarantee."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from jayshunt.config.models import ConfigDocument, Problem
from jayshunt.ids import ClassName, PoolName

Check = Callable[[ConfigDocument], Iterable[Problem]]


@dataclass(frozen=True)
class PoolCount:
    """Count the VMs of a pool that are listed, and those of them that are live."""

    listed: int
    live: int


def budget_check(count_vms: Callable[[PoolName], PoolCount]) -> Check:
    """Return a check that each pool's budget can hold for the VMs known.

    A budget that the live VMs do not fill would be broken at once, and one that
    leaves no VM out would be broken by the first maintenance or failure. Small
    pools may have a budget that only holds while all their VMs are up.
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
    """Return a check that no target is below the fastest response seen."""

    def check(document: ConfigDocument) -> Iterable[Problem]:
        for name, work_class in document.classes.items():
            seen_ms = fastest_ms(name)
            if seen_ms is None or work_class.target_ms is None:
                continue
            if work_class.target_ms < seen_ms:
                yield Problem(
                    f"classes.{name}.target_ms",
                    f"{work_class.target_ms} ms is below the fastest response seen "
                    f"({seen_ms:.1f} ms)",
                )

    return check


def new_problems(
    checks: Iterable[Check], before: ConfigDocument, after: ConfigDocument
) -> tuple[Problem, ...]:
    """Return the problems that a change brings.

    Problems that exist already, as after the loss of VMs, must not stop a change
    that has nothing to do with them.
    """
    checks = tuple(checks)
    known = {problem for check in checks for problem in check(before)}
    found = (problem for check in checks for problem in check(after))
    return tuple(problem for problem in found if problem not in known)
