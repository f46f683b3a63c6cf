"""Stand in for the advice service, which allows some workers, each with its ticket."""

import asyncio

from standins.http import Answer, Request, Server
from standins.store import Store


class Advice:
    """Answer `POST /advise` after `decideMs` and `eachMs` for each worker."""

    def __init__(
        self, store: Store, decide_ms: float, each_ms: float, valid_ms: int
    ) -> None:
        """Look up in `store` which life a worker is in."""
        self.server = Server(self._answer)
        self.policy = {"decideMs": decide_ms, "eachMs": each_ms, "validMs": valid_ms}
        # The machines whose workers may run any step; None for all of them.
        self.allowed: set[str] | None = None
        self._store = store
        self._turn = asyncio.Lock()

    async def _answer(self, request: Request) -> Answer:
        workers = request.json()["workers"]
        policy = self.policy
        async with self._turn:
            wait_ms = policy["decideMs"] + policy["eachMs"] * len(workers)
            await asyncio.sleep(wait_ms / 1000)
        good = []
        for worker in workers:
            entry = self._store.content(f"servers/{worker}")
            if entry is None:
                continue
            if self.allowed is None or entry["machine"] in self.allowed:
                good.append([worker, f"t-{worker}-{entry['born']}"])
        return 200, {"good": good, "validMs": policy["validMs"]}
