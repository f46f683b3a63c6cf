"""Run many HTTP calls on one thread with curl's multi interface."""

import selectors
import time
from collections.abc import Callable

import pycurl

from jayshunt.errors import JayshuntError
from jayshunt.http_client import HttpAnswer, HttpCall, Transfer, new_handle

# Idle connections beyond this are closed, the oldest first. It leaves descriptors for
# callers and for calls in flight on the smallest VMs, which have 4,100; see
# `dispatch.memory_budget`.
MAX_IDLE_CONNECTIONS = 1_950
MAX_IDLE_HANDLES = 256

OnDone = Callable[[HttpAnswer | None, JayshuntError | None], None]


class HttpMulti:
    """Calls in flight on connections that all of them share; used by one thread.

    The owner waits on `selector`, passes each ready descriptor to `run_socket`, and
    calls `run_timeouts` at the latest after `timeout_s`. `on_done` of a call is called
    from these two with either the answer or the error, never from `start`.
    """

    def __init__(
        self,
        selector: selectors.BaseSelector,
        max_idle_connections: int = MAX_IDLE_CONNECTIONS,
    ) -> None:
        """Start without calls; sockets of calls are registered in `selector`."""
        self._selector = selector
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_MAXCONNECTS, max_idle_connections)
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._timer_end_s: float | None = None
        self._calls: dict[pycurl.Curl, tuple[Transfer, OnDone]] = {}
        self._idle_handles: list[pycurl.Curl] = []

    def start(self, call: HttpCall, on_done: OnDone) -> None:
        """Begin a call."""
        handle = self._idle_handles.pop() if self._idle_handles else new_handle()
        transfer = Transfer(handle, call)
        self._calls[handle] = (transfer, on_done)
        self._multi.add_handle(handle)

    def timeout_s(self) -> float | None:
        """Return after how many seconds to call `run_timeouts`, None for never."""
        if self._timer_end_s is None:
            return None
        return max(0.0, self._timer_end_s - time.monotonic())

    def run_socket(self, descriptor: int, events: int) -> None:
        """Continue the call whose socket is ready to be read or written."""
        flags = 0
        if events & selectors.EVENT_READ:
            flags |= pycurl.CSELECT_IN
        if events & selectors.EVENT_WRITE:
            flags |= pycurl.CSELECT_OUT
        self._multi.socket_action(descriptor, flags)
        self._finish_calls()

    def run_timeouts(self) -> None:
        """Begin new calls and end those whose time is over, if it is due."""
        if self._timer_end_s is None or self._timer_end_s > time.monotonic():
            return
        self._timer_end_s = None
        self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._finish_calls()

    def close(self) -> None:
        """Abort all calls without calling back, and close all connections."""
        for handle in list(self._calls):
            self._multi.remove_handle(handle)
            handle.close()
        self._calls.clear()
        for handle in self._idle_handles:
            handle.close()
        self._multi.close()

    def _finish_calls(self) -> None:
        left = 1
        while left:
            left, succeeded, failed = self._multi.info_read()
            for handle in succeeded:
                transfer, on_done = self._release(handle)
                on_done(transfer.answer(), None)
            for handle, number, text in failed:
                transfer, on_done = self._release(handle)
                on_done(None, transfer.error(number, text))

    def _release(self, handle: pycurl.Curl) -> tuple[Transfer, OnDone]:
        self._multi.remove_handle(handle)
        transfer, on_done = self._calls.pop(handle)
        transfer.read_info()
        if len(self._idle_handles) < MAX_IDLE_HANDLES:
            self._idle_handles.append(handle)
        else:
            handle.close()
        return transfer, on_done

    def _set_timer(self, timeout_ms: int) -> None:
        self._timer_end_s = (
            None if timeout_ms < 0 else time.monotonic() + timeout_ms / 1000
        )

    def _watch_socket(self, what: int, descriptor: int, multi, data) -> None:
        known = self._selector.get_map().get(descriptor)
        if what == pycurl.POLL_REMOVE:
            if known is not None:
                self._selector.unregister(descriptor)
            return
        events = 0
        if what & pycurl.POLL_IN:
            events |= selectors.EVENT_READ
        if what & pycurl.POLL_OUT:
            events |= selectors.EVENT_WRITE
        if known is None:
            self._selector.register(descriptor, events)
        elif known.events != events:
            self._selector.modify(descriptor, events)
