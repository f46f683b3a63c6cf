"""Order the requests of a pool that wait for a slot."""

from jayshunt.admission.backlog import Backlog, Waiter
from jayshunt.admission.usual_shares import UsualShares


class AdmissionQueue:
    """Hold requests covered by usual shares and excess, each by deadline."""

    def __init__(self, shares: UsualShares) -> None:
        """Start empty."""
        self._shares = shares
        self._covered = Backlog()
        self._excess = Backlog()

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return self._covered.count + self._excess.count

    def add(self, waiter: Waiter, now_s: float) -> None:
        """Add one request."""
        self._lane(waiter).add(waiter, now_s)

    def remove(self, waiter: Waiter) -> None:
        """Take one request out."""
        self._lane(waiter).remove(waiter)

    def next(self, now_s: float) -> Waiter | None:
        """Return the request to serve next.

        Excess goes before covered requests only where it must start now to end
        in time and the covered request can wait for another run.
        """
        covered, excess = self._covered.first(), self._excess.first()
        if covered is None or excess is None:
            return covered or excess
        if _slack_ms(excess, now_s) < excess.run_ms:
            if _slack_ms(covered, now_s) > 2 * covered.run_ms:
                return excess
        return covered

    def waiters(self) -> list[Waiter]:
        """Return all waiting requests, covered ones first."""
        return [*self._covered.waiters(), *self._excess.waiters()]

    def restart_if_old(self, now_s: float) -> None:
        """Keep the deadlines within the rings of both backlogs."""
        self._covered.restart_if_old(now_s)
        self._excess.restart_if_old(now_s)

    def predict_wait_ms(
        self, waiter: Waiter, slots: int, running_ms: float, now_s: float
    ) -> float:
        """Return the time until a request would start.

        Requests that run are on average half done. Excess also waits for what
        the usual shares of other classes bring in the meantime.
        """
        usable = float(max(slots, 1))
        if waiter.covered:
            ahead_ms = self._covered.work_until(waiter.deadline_s)
        else:
            ahead_ms = self._covered.work_ms
            ahead_ms += self._excess.work_until(waiter.deadline_s)
            name = waiter.request.work_class
            usable -= self._shares.reserved_slots(name, slots, now_s)
        return (ahead_ms + running_ms / 2) / max(usable, 0.5)

    def _lane(self, waiter: Waiter) -> Backlog:
        return self._covered if waiter.covered else self._excess


def _slack_ms(waiter: Waiter, now_s: float) -> float:
    return (waiter.deadline_s - now_s) * 1000 - waiter.run_ms
