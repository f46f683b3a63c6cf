"""Check whether a configuration would break a guarantee."""

from collections.abc import Callable, Iterable

from jayshunt.config.models import ConfigDocument, Problem
from jayshunt.ids import ClassName, PoolName

Check = Callable[[ConfigDocument], Iterable[Problem]]


def budget_check(count_vms: Callable[[PoolName], int]) -> Check:
    """Return a check that each pool's budget can hold for the VMs known.

    With a budget that leaves no VM out, no VM could ever be maintained.
    """

    def check(document: ConfigDocument) -> Iterable[Problem]:
        for name, pool in document.pools.items():
            known = count_vms(name)
            spare = known - pool.min_available_ratio * known
            if known and spare < 1:
                yield Problem(
                    f"pools.{name}.min_available_ratio",
                    f"{pool.min_available_ratio} of {known} VMs leaves no VM to "
                    f"maintain; at most {1 - 1 / known:.3f} can hold",
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
