"""Answer operators over HTTP."""

import hmac
import json
import logging
from collections.abc import Callable

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from pydantic import ValidationError
from werkzeug.wrappers import Request, Response

from jayshunt.config.coordinator import ConfigCoordinator
from jayshunt.config.models import ConfigDocument, PlannedStop
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.serving.problems import problem_response
from jayshunt.settings.loader import explain_errors

_LOGGER = logging.getLogger(__name__)


class OperatorApplication:
    """Route operators' paths; a WSGI application."""

    def __init__(
        self,
        token: str,
        config: ConfigCoordinator,
        read_status: Callable[[], dict],
        read_dump: Callable[[], dict],
        is_ready: Callable[[], bool],
    ) -> None:
        """Wire the parts."""
        self._token = token
        self._config = config
        self._read_status = read_status
        self._read_dump = read_dump
        self._is_ready = is_ready

    def __call__(self, environ: dict, start_response: Callable):
        """Answer one request."""
        request = Request(environ)
        try:
            response = self._answer(request)
        except ValidationError as error:
            problem = JayshuntError(
                "config_rejected",
                step="operations.check",
                detail="; ".join(explain_errors(error)),
            )
            response = problem_response(problem)
        except JayshuntError as error:
            response = problem_response(error)
        except Exception:
            _LOGGER.exception("operations: a call failed inside")
            response = problem_response(
                JayshuntError(
                    "internal_error", step="operations", outcome=Outcome.UNKNOWN
                )
            )
        return response(environ, start_response)

    def _answer(self, request: Request) -> Response:
        match request.path:
            case "/livez":
                return Response("ok\n")
            case "/readyz":
                ready = self._is_ready()
                return Response(
                    "ready\n" if ready else "not ready\n", 200 if ready else 503
                )
            case "/metrics":
                return Response(generate_latest(), content_type=CONTENT_TYPE_LATEST)
        self._authorize(request)
        match request.method, request.path.removeprefix("/v1/operator/").split("/"):
            case "GET", ["status"]:
                return _response(self._read_status())
            case "GET", ["dump"]:
                return _response(self._read_dump())
            case "GET", ["config"]:
                return _response(self._config.current().model_dump(mode="json"))
            case "PUT", ["config"]:
                document = ConfigDocument.model_validate_json(request.get_data())
                return self._accept(request, lambda _: document)
            case "PUT", ["classes", name, "target"]:
                return self._accept(
                    request, _target_change(name, json.loads(request.get_data()))
                )
            case "PUT", ["stops", name]:
                stop = PlannedStop.model_validate_json(request.get_data())
                return self._accept(request, _stop_change(name, stop))
        raise JayshuntError(
            "not_found",
            step="operations.path",
            detail=f"{request.method} {request.path}",
        )

    def _authorize(self, request: Request) -> None:
        given = request.headers.get("Authorization", "")
        if not hmac.compare_digest(given.encode(), f"Bearer {self._token}".encode()):
            raise JayshuntError(
                "unauthorized",
                step="operations.authorize",
                detail="a bearer token is needed",
            )

    def _accept(self, request: Request, change: Callable) -> Response:
        author = request.headers.get("Jayshunt-Author", "operator")
        snapshot = self._config.accept(change, author)
        return _response({"version": snapshot.version, "accepted": True})


def _target_change(name: str, fields: dict) -> Callable:
    def change(document: ConfigDocument) -> ConfigDocument:
        content = document.model_dump(mode="json")
        if name not in content["classes"]:
            raise JayshuntError(
                "unknown_class",
                step="operations.target",
                detail=f"there is no class {name!r}",
            )
        content["classes"][name].update(fields)
        return ConfigDocument.model_validate(content)

    return change


def _stop_change(name: str, stop: PlannedStop) -> Callable:
    def change(document: ConfigDocument) -> ConfigDocument:
        content = document.model_dump(mode="json")
        content["planned_stops"][name] = stop.model_dump(mode="json")
        return ConfigDocument.model_validate(content)

    return change


def _response(content: dict) -> Response:
    return Response(json.dumps(content) + "\n", mimetype="application/json")
