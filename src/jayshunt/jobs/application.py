"""Answer the HTTP paths of jobs."""

import json

from pydantic import Field, ValidationError
from werkzeug.wrappers import Request, Response

from jayshunt.errors import JayshuntError
from jayshunt.ids import ClassName, JobId, TeamName, ZoneName
from jayshunt.jobs.intake import JobIntake
from jayshunt.jobs.models import Job, JobRequest, JobState, job_content
from jayshunt.settings.loader import explain_errors
from jayshunt.settings.models import StrictModel

MAX_COMMAND_CHARS = 8_192
DEFAULT_LISTED = 100
MAX_LISTED = 1_000


class SubmittedJob(StrictModel):
    """Check the body of `POST /v1/jobs`."""

    work_class: str = Field(alias="class")
    team: str
    command: str = Field(max_length=MAX_COMMAND_CHARS)
    cpu_cores: float = Field(default=1.0, gt=0)
    memory_bytes: int = Field(default=0, ge=0)
    accelerators: int = Field(default=0, ge=0)
    repeatable: bool = True


class JobApplication:
    """Translate between HTTP and the intake."""

    def __init__(self, intake: JobIntake) -> None:
        """Take the intake."""
        self._intake = intake

    def answer(self, request: Request) -> Response:
        """Answer one request below /v1/jobs."""
        job_id = JobId(request.path.removeprefix("/v1/jobs").strip("/"))
        match request.method, job_id:
            case "POST", "":
                accepted = self._intake.submit(_read(request))
                return _response({"job": accepted, "state": "waiting"}, 202)
            case "GET", "":
                return _response({"jobs": self._list(request)})
            case "GET", job_id if job_id:
                return _response(_shown(self._intake.read(job_id)))
            case "DELETE", job_id if job_id:
                return _response(_shown(self._intake.cancel(job_id)))
        raise JayshuntError(
            "not_found", step="jobs.path", detail=f"{request.method} {request.path}"
        )

    def _list(self, request: Request) -> list[dict]:
        state = request.args.get("state")
        if state is not None and state not in STATES:
            raise _bad_argument("state", state, ", ".join(sorted(STATES)))
        limit = request.args.get("limit", str(DEFAULT_LISTED))
        if not limit.isdigit() or not 1 <= int(limit) <= MAX_LISTED:
            raise _bad_argument("limit", limit, f"1 to {MAX_LISTED}")
        zone, team = request.args.get("zone"), request.args.get("team")
        jobs = self._intake.list(
            ZoneName(zone) if zone else None,
            TeamName(team) if team else None,
            JobState(state) if state else None,
        )
        return [_shown(job) for job in jobs[: int(limit)]]


STATES = frozenset(state.value for state in JobState)


def _bad_argument(name: str, value: str, allowed: str) -> JayshuntError:
    return JayshuntError(
        "bad_request",
        step="jobs.arguments",
        detail=f"{name}: {value[:32]!r} is not allowed; it takes {allowed}",
    )


def _read(request: Request) -> JobRequest:
    try:
        body = SubmittedJob.model_validate_json(request.get_data())
    except ValidationError as error:
        raise JayshuntError(
            "bad_request", step="jobs.body", detail="; ".join(explain_errors(error))
        ) from error
    fields = body.model_dump()
    fields["work_class"] = ClassName(body.work_class)
    fields["team"] = TeamName(body.team)
    return JobRequest(**fields)


def _shown(job: Job) -> dict:
    return {"job": job.job, **job_content(job)}


def _response(content: dict, status: int = 200) -> Response:
    return Response(json.dumps(content) + "\n", status, mimetype="application/json")
