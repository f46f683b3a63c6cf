"""HTTP endpoints for jobs."""

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
DEFAULT_LIST_LIMIT = 100
MAX_LIST_LIMIT = 1_000


class SubmittedJob(StrictModel):
    """Schema of the body of `POST /v1/jobs`."""

    work_class: str = Field(alias="class")
    team: str
    command: str = Field(max_length=MAX_COMMAND_CHARS)
    cpu_cores: float = Field(default=1.0, gt=0)
    memory_bytes: int = Field(default=0, ge=0)
    accelerators: int = Field(default=0, ge=0)
    repeatable: bool = True


class JobApplication:
    """Serve the endpoints for jobs by calls to the intake."""

    def __init__(self, intake: JobIntake) -> None:
        """Store the intake."""
        self._intake = intake

    def answer(self, request: Request) -> Response:
        """Return the response to a request for a path below /v1/jobs."""
        job_id = JobId(request.path.removeprefix("/v1/jobs").strip("/"))
        match request.method, job_id:
            case "POST", "":
                accepted = self._intake.submit(_read_submission(request))
                return _response({"job": accepted, "state": "waiting"}, 202)
            case "GET", "":
                return _response({"jobs": self._list(request)})
            case "GET", job_id if job_id:
                return _response(_job_view(self._intake.read(job_id)))
            case "DELETE", job_id if job_id:
                return _response(_job_view(self._intake.cancel(job_id)))
        raise JayshuntError(
            "not_found", step="jobs.path", detail=f"{request.method} {request.path}"
        )

    def _list(self, request: Request) -> list[dict]:
        state = request.args.get("state")
        if state is not None and state not in STATES:
            raise _bad_argument("state", state, ", ".join(sorted(STATES)))
        limit = request.args.get("limit", str(DEFAULT_LIST_LIMIT))
        if not limit.isdigit() or not 1 <= int(limit) <= MAX_LIST_LIMIT:
            raise _bad_argument("limit", limit, f"1 to {MAX_LIST_LIMIT}")
        zone, team = request.args.get("zone"), request.args.get("team")
        jobs = self._intake.list(
            ZoneName(zone) if zone else None,
            TeamName(team) if team else None,
            JobState(state) if state else None,
        )
        return [_job_view(job) for job in jobs[: int(limit)]]


STATES = frozenset(state.value for state in JobState)


def _bad_argument(name: str, value: str, allowed: str) -> JayshuntError:
    return JayshuntError(
        "bad_request",
        step="jobs.arguments",
        detail=f"{name}: {value[:32]!r} is not allowed; it takes {allowed}",
    )


def _read_submission(request: Request) -> JobRequest:
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


def _job_view(job: Job) -> dict:
    return {"job": job.job, **job_content(job)}


def _response(content: dict, status: int = 200) -> Response:
    return Response(json.dumps(content) + "\n", status, mimetype="application/json")
