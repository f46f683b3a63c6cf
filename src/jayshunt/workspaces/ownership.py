"""Decide which callers may use a job; a job is owned by the submitter's workspace."""

from jayshunt.ids import WorkspaceName
from jayshunt.workspaces.const import NO_WORKSPACE


def may_access(owner: WorkspaceName, caller: WorkspaceName) -> bool:
    """Return whether a caller may read and cancel a job.

    A job without an owner came in through a public queue, or before the deployment had
    workspaces; whoever knows its id may use it, as before.
    """
    return owner in (NO_WORKSPACE, caller)


def is_same_submitter(owner: WorkspaceName, caller: WorkspaceName) -> bool:
    """Return whether a submission of a stored id can be a retry of the stored one.

    An accepted retry promises that the caller's job runs, so it needs the same owner,
    also if the stored job has none.
    """
    return owner == caller
