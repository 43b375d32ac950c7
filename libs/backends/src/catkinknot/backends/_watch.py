"""Hold the lease on one backend server and listen for its news."""

import threading
from collections.abc import Callable

from catkinknot.model import Clock, SystemClock

from ._client import BackendClient
from ._protocol import Claim, Epoch, Poll, ServerState, TaskReport
from .exceptions import BackendError, BackendRefusedError

__all__ = ["ServerWatch", "WatchListener", "lease_ttl_s", "poll_wait_s"]

SHORTEST_POLL_S = 1.0
_LONGEST_POLL_S = 15.0
_POLLS_PER_S = 6.0
"""A holder polls all its idle servers about this often in sum."""

_LEASE_POLLS = 3
_LEASE_MARGIN_S = 1.0

_SAFETY_S = 0.5
"""Treat a lease as lapsed this much before the server does."""

_RETRY_S = 0.3
_LOST_AFTER_S = 3.0
"""Call a server lost when requests to it have failed for this long."""


def poll_wait_s(servers: int) -> float:
    """Return how long each of some servers should hold an idle poll open.

    The more servers a holder has, the longer each holds its polls, so that the
    holder's own cost stays the same. News ends a poll at once.

    Args:
        servers: How many servers the holder has.

    Returns:
        Seconds.
    """
    return min(max(servers / _POLLS_PER_S, SHORTEST_POLL_S), _LONGEST_POLL_S)


def lease_ttl_s(poll_s: float) -> float:
    """Return how long a lease lasts that polls of some length renew.

    Args:
        poll_s: How long an idle poll is held open.

    Returns:
        Seconds.
    """
    return _LEASE_POLLS * poll_s + _LEASE_MARGIN_S


class WatchListener:
    """Receive the news of servers; every method does nothing by default."""

    def claimed(self, server: str, state: ServerState) -> None:
        """Take everything that a newly held server holds."""

    def task_changed(self, server: str, report: TaskReport) -> None:
        """Take the news of one task."""

    def lost(self, server: str, reason: str) -> None:
        """Take note that a server does not answer."""

    def back(self, server: str) -> None:
        """Take note that a lost server answers again."""

    def deposed(self, server: str, reason: str) -> None:
        """Take note that another holder has the server."""


class ServerWatch:
    """Keep one server's lease with one thread, as long as this is the holder."""

    def __init__(
        self,
        client: BackendClient,
        holder: str,
        epoch: Epoch,
        listener: WatchListener,
        *,
        run_ttl_s: float,
        poll_wait: Callable[[], float] = lambda: SHORTEST_POLL_S,
        clock: Clock | None = None,
    ) -> None:
        """Prepare to hold a server.

        Args:
            client: The server.
            holder: This instance.
            epoch: Its epoch.
            listener: Who gets the news.
            run_ttl_s: Seconds that tasks may run on after each poll.
            poll_wait: Returns how long an idle poll is held open.
            clock: Where time comes from.
        """
        self._client = client
        self._holder = holder
        self._epoch = epoch
        self._listener = listener
        self._run_ttl_s = run_ttl_s
        self._pace = poll_wait
        self._clock = clock or SystemClock()
        self._lock = threading.Lock()
        self._closed = False
        self._held = False
        self._lost = False
        self._valid_until_s = 0.0
        self._failing_since_s: float | None = None
        self._newest = 0
        self._boot = ""

    @property
    def server(self) -> str:
        """The server's name."""
        return self._client.server

    @property
    def client(self) -> BackendClient:
        """The server's client."""
        return self._client

    def start(self) -> None:
        """Start the thread."""
        name = f"watch-{self.server}"
        threading.Thread(target=self._run, name=name, daemon=True).start()

    def close(self) -> None:
        """Let the lease lapse; the thread ends after the poll in hand."""
        with self._lock:
            self._closed = True
            self._valid_until_s = 0.0

    def valid(self) -> bool:
        """Tell whether the lease is surely held now.

        It is asked before every start. A holder that was paused finds that
        its time is over, whatever it believed before.
        """
        with self._lock:
            return self._held and self._clock.now() < self._valid_until_s

    def step(self) -> bool:
        """Claim the server, or poll it once.

        Returns:
            False when there is nothing more to do.
        """
        if self._closed:
            return False
        asked_s = self._clock.now()
        try:
            if not self._held:
                self._claim(asked_s)
            else:
                self._poll(asked_s)
        except BackendRefusedError as exc:
            return self._refused(exc.reason)
        except BackendError as exc:
            self._silent(exc.message)
        return not self._closed

    def _run(self) -> None:
        """Step until closed."""
        while self.step():
            pass

    def _claim(self, asked_s: float) -> None:
        """Ask for the lease and report what the server holds."""
        ttl_s = lease_ttl_s(self._pace())
        state = self._client.claim(Claim(self._holder, self._epoch, ttl_s))
        self._newest = state.newest
        self._boot = state.boot
        self._renewed(asked_s, ttl_s)
        with self._lock:
            self._held = True
        if not self._closed:
            self._listener.claimed(self.server, state)

    def _poll(self, asked_s: float) -> None:
        """Renew the lease and report what has changed."""
        poll_s = self._pace()
        ttl_s = lease_ttl_s(poll_s)
        reply = self._client.poll(
            Poll(self._holder, self._epoch, ttl_s, self._newest, poll_s, self._run_ttl_s)
        )
        if reply.boot != self._boot:
            # The server was replaced, and somebody else's claim under this
            # epoch hid it. Claim it again to learn what it holds now.
            with self._lock:
                self._held = False
            return
        self._renewed(asked_s, ttl_s)
        for report in reply.tasks:
            self._listener.task_changed(self.server, report)
        self._newest = reply.newest

    def _renewed(self, asked_s: float, ttl_s: float) -> None:
        """Count the lease from the moment when it was asked for."""
        with self._lock:
            if not self._closed:
                self._valid_until_s = asked_s + ttl_s - _SAFETY_S
            self._failing_since_s = None
            was_lost, self._lost = self._lost, False
        if was_lost:
            self._listener.back(self.server)

    def _refused(self, reason: str) -> bool:
        """Handle a refusal of the claim or of the poll.

        Returns:
            Whether to go on.
        """
        with self._lock:
            self._valid_until_s = 0.0
            self._held = False
        if reason in ("old_epoch", "foreign"):
            if not self._closed:
                self._listener.deposed(self.server, reason)
            return False
        self._clock.sleep(_RETRY_S)
        return not self._closed

    def _silent(self, reason: str) -> None:
        """Handle a request that got no answer."""
        now = self._clock.now()
        with self._lock:
            if self._failing_since_s is None:
                self._failing_since_s = now
            silent_s = now - self._failing_since_s
            newly = not self._lost and silent_s >= _LOST_AFTER_S
            self._lost = self._lost or newly
            if self._lost:
                # What happened meanwhile is learned from the next claim.
                self._held = False
        if newly and not self._closed:
            self._listener.lost(self.server, reason)
        self._clock.sleep(_RETRY_S)
