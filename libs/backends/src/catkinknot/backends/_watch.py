"""Lease on one backend server, renewed by polls that return task changes."""

import threading
from collections.abc import Callable

from catkinknot.model import Clock, SystemClock

from ._client import BackendClient
from ._protocol import Claim, Epoch, Poll, ServerState, TaskReport
from .exceptions import BackendError, BackendRefusedError

__all__ = ["ServerWatch", "WatchListener", "lease_ttl_s", "poll_wait_s"]

MIN_POLL_WAIT_S = 1.0
_MAX_POLL_WAIT_S = 15.0
_TARGET_POLLS_PER_S = 6.0
"""Target rate of polls of all of a holder's idle servers together."""

_POLLS_PER_LEASE = 3
_LEASE_MARGIN_S = 1.0

_EXPIRY_MARGIN_S = 0.5
"""A holder treats its lease as expired this long before the server does."""

_RETRY_INTERVAL_S = 0.3
_LOST_AFTER_S = 3.0
"""A server is reported as lost after requests to it have failed for this long."""


def poll_wait_s(servers: int) -> float:
    """Return how long a server should hold an idle poll open.

    The wait grows with the number of servers, so that the load on the holder
    stays constant. A task change ends a poll at once.

    Args:
        servers: The number of servers that the holder polls.

    Returns:
        The wait in seconds.
    """
    return min(max(servers / _TARGET_POLLS_PER_S, MIN_POLL_WAIT_S), _MAX_POLL_WAIT_S)


def lease_ttl_s(wait_s: float) -> float:
    """Return the duration of a lease that is renewed by polls.

    Args:
        wait_s: Seconds that an idle poll is held open.

    Returns:
        The duration in seconds.
    """
    return _POLLS_PER_LEASE * wait_s + _LEASE_MARGIN_S


class WatchListener:
    """Callbacks for changes on servers; every method does nothing by default."""

    def claimed(self, server: str, state: ServerState) -> None:
        """Handle the full state of a server whose lease was just obtained."""

    def task_changed(self, server: str, report: TaskReport) -> None:
        """Handle the new state of one task."""

    def lost(self, server: str, reason: str) -> None:
        """Handle a server that has become unresponsive."""

    def recovered(self, server: str) -> None:
        """Handle a lost server that responds again."""

    def deposed(self, server: str, reason: str) -> None:
        """Handle the loss of a server's lease to another holder."""


class ServerWatch:
    """Thread that keeps the lease on one server until another holder gets it."""

    def __init__(
        self,
        client: BackendClient,
        holder: str,
        epoch: Epoch,
        listener: WatchListener,
        *,
        run_ttl_s: float,
        poll_wait: Callable[[], float] = lambda: MIN_POLL_WAIT_S,
        clock: Clock | None = None,
    ) -> None:
        """Set up the watch without a lease; `start` runs its thread.

        Args:
            client: Client of the server.
            holder: This instance and its lifetime, as ``instance:boot``.
            epoch: This instance's epoch.
            listener: Receives the changes on the server.
            run_ttl_s: Seconds by which each poll extends started tasks.
            poll_wait: Returns the seconds that an idle poll is held open.
            clock: The clock, by default the system's.
        """
        self._client = client
        self._holder = holder
        self._epoch = epoch
        self._listener = listener
        self._run_ttl_s = run_ttl_s
        self._poll_wait = poll_wait
        self._clock = clock or SystemClock()
        self._lock = threading.Lock()
        self._closed = False
        self._held = False
        self._lost = False
        self._valid_until_s = 0.0
        self._failing_since_s: float | None = None
        self._newest_event = 0
        self._boot = ""

    @property
    def server(self) -> str:
        """The server's name."""
        return self._client.server

    @property
    def client(self) -> BackendClient:
        """Client of the server."""
        return self._client

    def start(self) -> None:
        """Start the thread that claims and polls the server."""
        name = f"watch-{self.server}"
        threading.Thread(target=self._run, name=name, daemon=True).start()

    def close(self) -> None:
        """Let the lease expire; the thread ends after the current request."""
        with self._lock:
            self._closed = True
            self._valid_until_s = 0.0

    def valid(self) -> bool:
        """Return whether the lease is certainly held now.

        It is called before every start, so that a holder whose process was
        paused notices that its lease may have expired meanwhile.
        """
        with self._lock:
            return self._held and self._clock.now() < self._valid_until_s

    def step(self) -> bool:
        """Claim the server, or poll it once.

        Returns:
            False if the watch has ended.
        """
        if self._closed:
            return False
        requested_at_s = self._clock.now()
        try:
            if not self._held:
                self._claim(requested_at_s)
            else:
                self._poll(requested_at_s)
        except BackendRefusedError as exc:
            return self._handle_refusal(exc.reason)
        except BackendError as exc:
            self._handle_no_response(exc.message)
        return not self._closed

    def _run(self) -> None:
        """Repeat `step` until the watch has ended."""
        while self.step():
            pass

    def _claim(self, requested_at_s: float) -> None:
        """Request the lease and report the server's state."""
        ttl_s = lease_ttl_s(self._poll_wait())
        state = self._client.claim(Claim(self._holder, self._epoch, ttl_s))
        self._newest_event = state.newest
        self._boot = state.boot
        self._record_renewal(requested_at_s, ttl_s)
        with self._lock:
            self._held = True
        if not self._closed:
            self._listener.claimed(self.server, state)

    def _poll(self, requested_at_s: float) -> None:
        """Renew the lease and report the changed tasks."""
        wait_s = self._poll_wait()
        ttl_s = lease_ttl_s(wait_s)
        reply = self._client.poll(
            Poll(self._holder, self._epoch, ttl_s, self._newest_event, wait_s, self._run_ttl_s)
        )
        if reply.boot != self._boot:
            # The server was restarted, and another claim under this epoch kept
            # the poll from being refused. Claim the server again to learn its
            # present state.
            with self._lock:
                self._held = False
            return
        self._record_renewal(requested_at_s, ttl_s)
        for report in reply.tasks:
            self._listener.task_changed(self.server, report)
        self._newest_event = reply.newest

    def _record_renewal(self, requested_at_s: float, ttl_s: float) -> None:
        """Record the lease as valid from the time of the request."""
        with self._lock:
            if not self._closed:
                self._valid_until_s = requested_at_s + ttl_s - _EXPIRY_MARGIN_S
            self._failing_since_s = None
            was_lost, self._lost = self._lost, False
        if was_lost:
            self._listener.recovered(self.server)

    def _handle_refusal(self, reason: str) -> bool:
        """Give up the lease after a refused claim or poll.

        Returns:
            Whether to claim the server again.
        """
        with self._lock:
            self._valid_until_s = 0.0
            self._held = False
        if reason in ("old_epoch", "foreign"):
            if not self._closed:
                self._listener.deposed(self.server, reason)
            return False
        self._clock.sleep(_RETRY_INTERVAL_S)
        return not self._closed

    def _handle_no_response(self, reason: str) -> None:
        """Report the server as lost if its requests have failed for long enough."""
        now = self._clock.now()
        with self._lock:
            if self._failing_since_s is None:
                self._failing_since_s = now
            failing_s = now - self._failing_since_s
            newly_lost = not self._lost and failing_s >= _LOST_AFTER_S
            self._lost = self._lost or newly_lost
            if self._lost:
                # The next claim returns all changes made meanwhile.
                self._held = False
        if newly_lost and not self._closed:
            self._listener.lost(self.server, reason)
        self._clock.sleep(_RETRY_INTERVAL_S)
