"""Client of the operators' HTTP API."""

import json
from pathlib import Path
from urllib.parse import urlencode

from jayshunt import http_client
from jayshunt.cli.const import CALL_TIMEOUT_S
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.http_client import HttpAnswer


class OperatorClient:
    """Send each call to the first of several entries that answers.

    A change is sent to the next entry only if the previous one certainly did not
    receive it; otherwise the change could be accepted twice.
    """

    def __init__(
        self,
        addresses: list[str],
        token: str,
        author: str,
        authority_file: Path | None = None,
    ) -> None:
        """Initialize; use TLS if `authority_file`, a CA certificate, is given."""
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
        """Return the answer, or raise the error that an entry reported.

        Query values None and "" are left out. Raise the error of the last entry if
        none answered.
        """
        non_empty = {
            name: value for name, value in query.items() if value not in (None, "")
        }
        if non_empty:
            path = f"{path}?{urlencode(non_empty)}"
        body = None if content is None else json.dumps(content).encode()
        problem: JayshuntError | None = None
        for address in self._addresses:
            try:
                return _parse_answer(self._send(method, address, path, body), address)
            except JayshuntError as error:
                if not _can_try_next_entry(error, method):
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


def _can_try_next_entry(error: JayshuntError, method: str) -> bool:
    if error.code == "peer_unreachable":
        return True
    # A read has no effect, so it is safe to repeat even if its outcome is unknown.
    return method == "GET" and error.code in ("no_answer", "unreadable_answer")


def _parse_answer(answer: HttpAnswer, address: str) -> dict:
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
