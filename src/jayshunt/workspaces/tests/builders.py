"""Build keys, configurations and the parts of an entry for tests of workspaces."""

from collections.abc import Callable
from dataclasses import replace
from types import SimpleNamespace

from jayshunt.clock import ManualClock
from jayshunt.dispatch.entry import EntryJobService
from jayshunt.dispatch.link import DispatcherLink
from jayshunt.dispatch.models import Bounds, FleetConfig, Workspace
from jayshunt.dispatch.tests.builders import build_config, build_queue
from jayshunt.dispatch.tests.fakes import FakeStore
from jayshunt.ids import ConfigVersion, WorkspaceName
from jayshunt.platform.credentials import read_credential
from jayshunt.platform.formats import digest_key
from jayshunt.workspaces.authentication import Authenticator
from jayshunt.workspaces.models import Credential
from jayshunt.workspaces.refusals import RefusalLog

RIVER = WorkspaceName("river")
MOUNTAIN = WorkspaceName("mountain")
RIVER_KEY = "rv-91c2f8a7"
MOUNTAIN_KEY = "mt-5d07be13"
STRICT = Bounds(is_revoke_strict=True, revoke_ms=5_000)


def build_workspace(name: WorkspaceName, *keys: str) -> Workspace:
    """Return a workspace with the given keys."""
    return Workspace(name, frozenset(digest_key(key) for key in keys))


def build_keyed_config(
    version: int = 1, is_public: bool = False, **keys: str
) -> FleetConfig:
    """Return a configuration that needs keys; `keys` has one key for each workspace."""
    rows = tuple(build_workspace(WorkspaceName(n), key) for n, key in keys.items())
    return replace(
        build_config(),
        version=ConfigVersion(version),
        queues=(build_queue(is_public=is_public),),
        workspaces=rows,
        requires_keys=True,
    )


def present(key: str) -> Credential:
    """Return the credential of a call with a key."""
    return read_credential([f"Token {key}"])


def build_authenticator(
    clock: ManualClock,
    bounds: Bounds = Bounds(),
    confirmed_s: Callable[[], float | None] = lambda: None,
) -> Authenticator:
    """Return an authenticator; by default the configuration was never confirmed."""
    refusals = RefusalLog(clock, lambda reason: None)
    return Authenticator(bounds, clock, confirmed_s, refusals)


def build_link(clock: ManualClock, dispatcher=None) -> DispatcherLink:
    """Return the link of an entry that dispatches itself, or reaches no dispatcher."""
    election = SimpleNamespace(
        term=None,
        incarnation="",
        wait_for_change=lambda term, timeout_s: clock.advance(timeout_s),
    )
    link = DispatcherLink(election, FakeStore(), clock, failure_detector=None)
    link.own_dispatcher = dispatcher
    return link


def build_entry(store: FakeStore, link, clock: ManualClock) -> EntryJobService:
    """Return the job service of an entry."""
    return EntryJobService(store, link, clock, RefusalLog(clock, lambda reason: None))
