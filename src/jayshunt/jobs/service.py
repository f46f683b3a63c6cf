"""Assemble the components of the jobs package."""

import random
import threading
from collections.abc import Callable

from jayshunt.clock import Clock
from jayshunt.config.models import ConfigSnapshot
from jayshunt.jobs.application import JobApplication
from jayshunt.jobs.intake import JobIntake
from jayshunt.jobs.peer_service import JobsNotifier, JobsServicer
from jayshunt.jobs.scheduler import JobScheduler
from jayshunt.jobs.shards import ZoneJobs
from jayshunt.jobs.worker_client import WorkerClient
from jayshunt.jobs.workers import WorkerTable
from jayshunt.membership.models import Member, MembershipView
from jayshunt.peers.channels import PeerChannels
from jayshunt.pools.models import AssignmentRecord
from jayshunt.store.documents import DocumentStore
from jayshunt.store.group_commit import GroupCommitter


class JobService:
    """The intake, scheduler and notifier of one entry.

    `tasks` are the long-running functions to start in threads; each takes a stop
    event.
    """

    def __init__(
        self,
        own: Member,
        documents: DocumentStore,
        commits: GroupCommitter,
        read_config: Callable[[], ConfigSnapshot],
        read_record: Callable[[], AssignmentRecord],
        read_term: Callable[[], str | None],
        view: Callable[[], MembershipView],
        channels: PeerChannels,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Create the components without starting them."""
        wake = threading.Event()
        self.scheduler = JobScheduler(
            ZoneJobs(own.zone, documents, commits, clock),
            WorkerTable(WorkerClient(), clock, wake.set),
            read_config,
            read_record,
            read_term,
            clock,
            wake,
        )
        self.notifier = JobsNotifier(own, self.scheduler, view, channels, clock)
        self.intake = JobIntake(
            own.zone, documents, commits, read_config, clock, rng, self.notifier.notify
        )
        self.application = JobApplication(self.intake)
        self.servicer = JobsServicer(self.scheduler)
        self.tasks = (self.scheduler.run, self.notifier.run)
