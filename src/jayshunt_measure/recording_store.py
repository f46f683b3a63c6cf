"""Record the time at which the store accepted each configuration version."""

import json
import time
from dataclasses import dataclass

from jayshunt.config.const import CURRENT_KEY
from jayshunt_standins.store import StoreStandIn


@dataclass(frozen=True)
class StoredVersion:
    """Represent a version that was accepted at the monotonic time `at_s`."""

    version: int
    digest: str
    at_s: float


class RecordingStore(StoreStandIn):
    """Record each new version; if `down_after_accept`, go down right after one."""

    def __init__(self, port: int = 0) -> None:
        """Create a store without versions."""
        super().__init__(port)
        self.versions: list[StoredVersion] = []
        self.down_after_accept = False

    @property
    def newest(self) -> int:
        """Return the newest version."""
        return self.versions[-1].version if self.versions else 0

    def teams(self) -> dict[str, float]:
        """Return the quota of each team in the stored document."""
        content = json.loads(self._items[CURRENT_KEY].value)
        teams = content["document"]["teams"].items()
        return {name: team["quota_cores"] for name, team in teams}

    def _apply(self, key: str, value: str | None, lease: str | None) -> None:
        super()._apply(key, value, lease)
        if key != CURRENT_KEY or value is None:
            return
        content = json.loads(value)
        # A repeated write after a lost response has the same version.
        if content.get("version", 0) > self.newest:
            stored = StoredVersion(
                content["version"], content["digest"], time.monotonic()
            )
            self.versions.append(stored)
            self.faults.down = self.faults.down or self.down_after_accept
