"""Call the operators' interface of an entry."""

import json
from pathlib import Path
from urllib.parse import urlencode

from jayshunt import http_client
from jayshunt.cli.const import CALL_TIMEOUT_S
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.http_client import HttpAnswer


class OperatorClient:
    """Send operators' calls to the first of several entries that answers.

    A change goes to the next entry only if the one before certainly did not get
    it; otherwise it could be accepted twice.
    """

    def __init__(
        self,
        addresses: list[str],
        token: str,
        author: str,
        authority_file: Path | None = None,
    ) -> None:
        """Take the operator addresses, the token and the author's name."""
        self._addresses = addresses
        self._scheme = "http" if authority_file is None else "https"
        self._authority_file = authority_file
        self._headers = {
            "Authorization": f"Bearer {token}",
            "Content-Type": "application/json",
            "Jayshunt-Author": author,
        }

    def call(
        self, method: str, path: str, content: object = None, **query: object
    ) -> dict:
        """Return the answer, or raise the error that the entry reported."""
        given = {
            name: value for name, value in query.items() if value not in (None, "")
        }
        if given:
            path = f"{path}?{urlencode(given)}"
        body = None if content is None else json.dumps(content).encode()
        problem: JayshuntError | None = None
        for address in self._addresses:
            try:
                return _read(self._send(method, address, path, body), address)
            except JayshuntError as error:
                if not _may_try_next(error, method):
                    raise
                problem = error
        raise problem or JayshuntError(
            "peer_unreachable", step="operator.call", detail="no entry was given"
        )

    def _send(
        self, method: str, address: str, path: str, body: bytes | None
    ) -> HttpAnswer:
        return http_client.request(
            method,
            f"{self._scheme}://{address}/v1/operator/{path}",
            body=body,
            headers=self._headers,
            timeout_s=CALL_TIMEOUT_S,
            step=f"operator.{path.partition('?')[0]}",
            authority_file=self._authority_file,
        )


def _may_try_next(error: JayshuntError, method: str) -> bool:
    if error.code == "peer_unreachable":
        return True
    # A call that only reads runs nothing, whatever became of it.
    return method == "GET" and error.code in ("no_answer", "unreadable_answer")


def _read(answer: HttpAnswer, address: str) -> dict:
    try:
        result = json.loads(answer.body)
        if answer.status == 200:
            return result
        raise JayshuntError(
            result["code"],
            step=result["step"],
            peer=result["peer"] or address,
            outcome=Outcome(result["outcome"]),
            retry_after_s=result["retry_after_s"],
            detail=result["detail"],
        )
    except (ValueError, KeyError, TypeError) as error:
        raise JayshuntError(
            "unreadable_answer",
            step="operator.read",
            peer=address,
            outcome=Outcome.UNKNOWN,
            detail=f"status {answer.status}: {answer.body[:80]!r}",
        ) from error
