"""Serve the operators' HTTP API."""

import hmac
import json
import logging
from collections.abc import Callable, Iterable
from dataclasses import asdict

from prometheus_client import CONTENT_TYPE_LATEST
from pydantic import ValidationError
from werkzeug.exceptions import HTTPException
from werkzeug.wrappers import Request, Response

from jayshunt.config.coordinator import ConfigCoordinator
from jayshunt.config.edits import explain_conflict, format_value
from jayshunt.config.models import (
    Change,
    ConfigDocument,
    ConfigEdit,
    EditPlan,
    PlannedStop,
)
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.ids import ConfigVersion
from jayshunt.operations.deployment import DeploymentReader
from jayshunt.operations.edits import stop_edit, target_edit, withdraw_edit
from jayshunt.operations.metrics import EntryMetrics
from jayshunt.operations.reporter import EntryReporter
from jayshunt.serving.problems import problem_response
from jayshunt.settings.loader import explain_errors

_LOGGER = logging.getLogger(__name__)

OPERATOR_PREFIX = "/v1/operator/"


class OperatorApplication:
    """WSGI application for the operators' port."""

    def __init__(
        self,
        token: str,
        config: ConfigCoordinator,
        reporter: EntryReporter,
        deployment: DeploymentReader,
        metrics: EntryMetrics,
        is_ready: Callable[[], bool],
    ) -> None:
        """Initialize with the sources of the answers and the bearer token."""
        self._token = token
        self._config = config
        self._reporter = reporter
        self._deployment = deployment
        self._metrics = metrics
        self._is_ready = is_ready

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Handle one request and map errors to problem responses."""
        try:
            response = self._answer(Request(environ))
        except ValidationError as error:
            response = _problem("config_rejected", "; ".join(explain_errors(error)))
        except JayshuntError as error:
            response = problem_response(error)
        except (HTTPException, ValueError) as error:
            response = _problem("bad_request", str(error))
        except Exception:
            _LOGGER.exception("operations: unexpected error in an operator call")
            response = _problem("internal_error", "", Outcome.UNKNOWN)
        return response(environ, start_response)

    def _answer(self, request: Request) -> Response:
        match request.path:
            case "/livez":
                return Response("ok\n")
            case "/readyz":
                ready = self._is_ready()
                text = "ready\n" if ready else "not ready\n"
                return Response(text, 200 if ready else 503)
            case "/metrics":
                return Response(self._metrics.text(), content_type=CONTENT_TYPE_LATEST)
        self._authorize(request)
        if not request.path.startswith(OPERATOR_PREFIX):
            raise _not_found(request)
        parts = request.path.removeprefix(OPERATOR_PREFIX).split("/")
        if request.method == "GET":
            return _json_response(self._read(request, parts))
        return _json_response(self._change(request, parts))

    def _authorize(self, request: Request) -> None:
        given = request.headers.get("Authorization", "")
        if not hmac.compare_digest(given.encode(), f"Bearer {self._token}".encode()):
            raise JayshuntError(
                "unauthorized",
                step="operations.authorize",
                detail="a bearer token is needed",
            )

    def _read(self, request: Request, parts: list[str]) -> object:
        everywhere = request.args.get("scope") != "entry"
        match parts:
            case ["status"]:
                reader = self._deployment if everywhere else self._reporter
                return reader.status()
            case ["dump"]:
                reader = self._deployment if everywhere else self._reporter
                return reader.dump()
            case ["report"]:
                return self._deployment.report()
            case ["config"]:
                return self._read_config(request.args.get("version", type=int))
            case ["config", "history"]:
                limit = request.args.get("limit", 20, type=int)
                return {
                    "history": [
                        _history_entry_json(e) for e in self._config.history(limit)
                    ]
                }
            case ["config", "diff"]:
                old, new = (ConfigVersion(int(request.args[k])) for k in ("from", "to"))
                return {"changes": _changes_json(self._config.diff(old, new))}
            case ["config", "in_force"]:
                return {"in_force": self._config.versions_in_force()}
        raise _not_found(request)

    def _change(self, request: Request, parts: list[str]) -> object:
        author = request.headers.get("Jayshunt-Author", "operator")[:64]
        reason = request.args.get("reason", "")[:200]
        before = self._config.current()
        match request.method, parts:
            case "PUT", ["config"]:
                document = ConfigDocument.model_validate_json(request.get_data())
                base = request.args.get("base_version", type=int)
                edit = ConfigEdit(document, author, base, reason)
            case "PUT", ["classes", name, "target"]:
                fields = json.loads(request.get_data())
                edit = target_edit(before, name, fields, author, reason)
            case "PUT", ["stops", name]:
                stop = PlannedStop.model_validate_json(request.get_data())
                edit = stop_edit(before, name, stop, author, reason)
            case "DELETE", ["stops", name]:
                edit = withdraw_edit(before, name, author, reason)
            case _:
                raise _not_found(request)
        if request.args.get("dry_run") == "1":
            return _plan_json(self._config.plan(edit))
        snapshot = self._config.accept_edit(edit)
        _LOGGER.info("operations: %s created version %s", author, snapshot.version)
        return {"version": snapshot.version, "accepted": True}

    def _read_config(self, version: int | None) -> dict:
        if version is None:
            return self._config.current().model_dump(mode="json")
        snapshot = self._config.at_version(ConfigVersion(version))
        return snapshot.model_dump(mode="json")


def _changes_json(changes: Iterable[Change]) -> list[dict]:
    return [
        {
            "name": c.name,
            "before": format_value(c.before),
            "after": format_value(c.after),
        }
        for c in changes
    ]


def _history_entry_json(entry) -> dict:
    return {
        "version": entry.version,
        "author": entry.author,
        "accepted_s": entry.accepted_s,
        "reason": entry.reason,
        "changes": _changes_json(entry.changes),
    }


def _plan_json(plan: EditPlan) -> dict:
    return {
        "base_version": plan.base_version,
        "changes": _changes_json(plan.changes),
        "conflicts": [explain_conflict(conflict) for conflict in plan.conflicts],
        "problems": [asdict(problem) for problem in plan.problems],
    }


def _not_found(request: Request) -> JayshuntError:
    return JayshuntError(
        "not_found", step="operations.path", detail=f"{request.method} {request.path}"
    )


def _problem(code: str, detail: str, outcome: Outcome = Outcome.NOT_RUN) -> Response:
    error = JayshuntError(code, step="operations", outcome=outcome, detail=detail)
    return problem_response(error)


def _json_response(content: object) -> Response:
    text = json.dumps(content, default=str) + "\n"
    return Response(text, mimetype="application/json")
