"""Call the operators' interface of an entry."""

import json

from jayshunt import http_client
from jayshunt.errors import JayshuntError, Outcome

CALL_TIMEOUT_S = 10.0


class OperatorClient:
    """Send operators' calls with their credential."""

    def __init__(self, address: str, token: str, author: str) -> None:
        """Take the entry's operator address, the token and the author's name."""
        self._address = address
        self._headers = {
            "Authorization": f"Bearer {token}",
            "Content-Type": "application/json",
            "Jayshunt-Author": author,
        }

    def call(self, method: str, path: str, content: object = None) -> dict:
        """Return the answer, or raise the error that the entry reported."""
        body = None if content is None else json.dumps(content).encode()
        answer = http_client.request(
            method,
            f"http://{self._address}/v1/operator/{path}",
            body=body,
            headers=self._headers,
            timeout_s=CALL_TIMEOUT_S,
            step=f"operator.{path}",
        )
        result = json.loads(answer.body)
        if answer.status == 200:
            return result
        raise JayshuntError(
            result["code"],
            step=result["step"],
            peer=result["peer"] or self._address,
            outcome=Outcome(result["outcome"]),
            retry_after_s=result["retry_after_s"],
            detail=result["detail"],
        )
