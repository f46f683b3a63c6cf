"""List the reasons for which a worker gets no task."""

from enum import Enum


class Obstacle(Enum):
    """List why no task is placed on a worker; the values are texts for operators."""

    ENDED = "it has ended"
    SILENT = "silent"
    NOT_LISTED = "left the list of workers"
    DRAINING = "draining"
    EMPTIED = "its VM is being emptied"
    PAUSED = "it refused a start or left one unanswered just now"
    SET_ASIDE = "set aside, its runs fail"
    PROBATION = "on probation, a suspect of a crash was just started"
    AVOIDED = "tasks of the step were slowed down by its neighbors there"
    STARTS_QUEUED = "as many starts as may wait for it are queued"
    NO_ROOM = "no room"
    OTHER_POOL = "in another pool than its queue"
    NO_LABEL = "lacks the required label"
    STEP_LIMIT = "has as many tasks of the step as may share a worker"
