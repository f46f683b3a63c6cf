"""Wire the components of the operations package for one entry."""

from collections.abc import Callable

from jayshunt.clock import Clock
from jayshunt.config.coordinator import ConfigCoordinator
from jayshunt.errors import JayshuntError
from jayshunt.ids import EntryId
from jayshunt.membership.models import MembershipView
from jayshunt.operations.application import OperatorApplication
from jayshunt.operations.class_statistics import ClassStatistics
from jayshunt.operations.deployment import DeploymentReader, report_requester
from jayshunt.operations.metrics import EntryMetrics
from jayshunt.operations.reporter import EntryReporter
from jayshunt.operations.samples import ReportSamples
from jayshunt.peers.channels import PeerChannels
from jayshunt.routing.messages import CallerAnswer, CallerRequest

Send = Callable[[CallerRequest], CallerAnswer]


class OperationsService:
    """Collect statistics and reports and create the operators' application.

    Other packages add their sections and metrics to `reporter` and `metrics`.
    """

    def __init__(
        self,
        entry: EntryId,
        config: ConfigCoordinator,
        view: Callable[[], MembershipView],
        channels: PeerChannels,
        read_buffer_cores: Callable[[], float],
        clock: Clock,
    ) -> None:
        """Create the components and connect them."""
        self._config = config
        self._clock = clock
        self.reporter = EntryReporter()
        self.statistics = ClassStatistics(clock)
        self.samples = ReportSamples(clock, read_buffer_cores)
        self.metrics = EntryMetrics(self.statistics)
        self._deployment = DeploymentReader(
            entry, self.reporter, view, report_requester(channels, entry), clock
        )
        config.add_listener(self.samples.record_roll_out)
        self.reporter.add_dump("samples", self.samples.content)

    def application(
        self, token: str, is_ready: Callable[[], bool]
    ) -> OperatorApplication:
        """Return the WSGI application of the operators' port."""
        return OperatorApplication(
            token,
            self._config,
            self.reporter,
            self._deployment,
            self.metrics,
            is_ready,
        )

    def instrument(self, send: Send) -> Send:
        """Wrap a router's `send` so that it records each request's result by class."""

        def instrumented_send(request: CallerRequest) -> CallerAnswer:
            started_s = self._clock.monotonic_s()
            refusal: str | None = "internal_error"
            try:
                answer = send(request)
                refusal = "upstream_error" if answer.status >= 500 else None
                return answer
            except JayshuntError as error:
                refusal = error.code
                raise
            finally:
                self._record(request, started_s, refusal)

        return instrumented_send

    def _record(
        self, request: CallerRequest, started_s: float, refusal: str | None
    ) -> None:
        # An unknown class, which callers could choose freely, must not become the
        # label value of a metric.
        work_class = self._config.current().document.classes.get(request.work_class)
        if work_class is None or work_class.target_ms is None:
            return
        duration_ms = (self._clock.monotonic_s() - started_s) * 1000
        self.statistics.record(
            request.work_class, duration_ms, work_class.target_ms, refusal
        )
