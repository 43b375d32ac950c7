"""Renew the leases of servers that have runs, and read the ends of the runs."""

import threading
from collections.abc import Callable

from catkinknot.model import Clock

from ._cluster_state import ClusterState
from ._orders import LEASE_S
from ._recorder import Recorder
from ._reports import apply_hold_answer
from ._servers import HoldAnswer, OrderOutcome, ServerCalls
from ._views import ServerView

__all__ = ["Watcher", "needs_watch"]

LONG_WAIT_S = 1.9
"""Time for which a server may wait for an end before it answers."""

SHORT_WAIT_S = 0.25
"""The same while an order is unresolved."""

RECORD_WAIT_S = 1.0
"""Longest wait for ends to be recorded before the lease is renewed."""

RETRY_S = 0.2
"""Pause after a failed renewal."""

IDLE_RETRY_S = 0.8
"""The same while the server has no runs."""

WITHHELD_POLL_S = 0.4
"""Pause between renewals at a server with a withheld end, which answers without waiting."""

UNPROVEN_POLL_S = 0.05
"""The same while a run may be in the server's next lifetime, until the start is answered."""


class Watcher:
    """Renews the leases of servers and acknowledges ends once the store has recorded them."""

    def __init__(
        self,
        cluster: ClusterState,
        *,
        calls: ServerCalls,
        recorder: Recorder,
        token: int,
        clock: Clock,
        lease_end: Callable[[], float],
        on_fenced: Callable[[], None],
    ) -> None:
        """Create a watcher.

        Args:
            cluster: The cluster state.
            calls: Client for the servers.
            recorder: Writes changes to the store.
            token: Fencing token: the epoch of the leader.
            clock: Source of time.
            lease_end: Returns the latest time to which a lease may be granted.
            on_fenced: Called when a server has seen the token of a later leader.
        """
        self._cluster = cluster
        self._calls = calls
        self._recorder = recorder
        self._token = token
        self._clock = clock
        self._lease_end = lease_end
        self._on_fenced = on_fenced

    def watch(self, view: ServerView, stopped: threading.Event) -> None:
        """Renew a server's lease in a loop for as long as `needs_watch` holds."""
        while not stopped.is_set():
            with self._cluster.lock:
                if not needs_watch(view):
                    view.watched = False
                    return
                wait_s = _wait_s(view, self._clock.now())
            answer = self.hold(view, wait_s)
            if answer.reply.outcome is not OrderOutcome.DONE:
                stopped.wait(RETRY_S if view.runs else IDLE_RETRY_S)
                continue
            recorded = threading.Event()
            if self.acknowledge_recorded_ends(view, answer, recorded) and not recorded.wait(
                RECORD_WAIT_S
            ):
                stopped.wait(RETRY_S)
            elif view.withheld_end is not None:
                stopped.wait(WITHHELD_POLL_S)
            elif view.ack_cursor < view.read_end:
                stopped.wait(UNPROVEN_POLL_S)

    def hold(self, view: ServerView, wait_s: float) -> HoldAnswer:
        """Renew a server's lease once and apply the answer.

        An unresponsive server is polled without a renewal: a call that got
        no answer may still be executed, so renewing with each call would keep
        the lease from ever expiring.

        Args:
            view: The server.
            wait_s: How long the server may wait for an end.
        """
        with self._cluster.lock:
            now_s = self._clock.now()
            end_s = min(now_s + LEASE_S, self._lease_end())
            renew = end_s > now_s and view.unresponsive_since_s is None
            until_ms = view.grant_lease(end_s, now_s) if renew else 0
            seen_end = view.ack_cursor
            listing = view.listing
        answer = self._calls.hold(
            listing, token=self._token, seen_end=seen_end, until_ms=until_ms, wait_s=wait_s
        )
        if answer.reply.outcome is OrderOutcome.FENCED:
            self._on_fenced()
        else:
            apply_hold_answer(self._cluster, view, answer, now_s)
        return answer

    def acknowledge_recorded_ends(
        self, view: ServerView, answer: HoldAnswer, recorded: threading.Event
    ) -> bool:
        """Let later renewals acknowledge ends once these are recorded.

        Returns:
            Whether the answer holds any ends to acknowledge.
        """
        last = view.acknowledgeable_end
        if not answer.ended or last <= view.seen_end:
            return False

        def confirm() -> None:
            view.seen_end = max(view.seen_end, last)
            recorded.set()

        self._recorder.after(confirm)
        return True


def needs_watch(view: ServerView) -> bool:
    """Return whether a server has to be polled again.

    A server that is unresponsive, or whose lease has expired, is polled even
    without runs, since it gets no new work until it has answered.
    """
    if view.listing is None or view.replaced:
        return False
    unresponsive = view.listed and (view.lease_expired or view.unresponsive_since_s is not None)
    return bool(view.runs or unresponsive or view.acknowledgeable_end > view.seen_end)


def _wait_s(view: ServerView, now_s: float) -> float:
    """Return how long the server may wait for an end before it answers."""
    if view.acknowledgeable_end > view.seen_end or view.unresponsive_since_s is not None:
        return 0.0
    unresolved = [run for run in view.runs.values() if run.start_resolved_s is None or run.stopping]
    if not unresolved:
        return LONG_WAIT_S
    settled_in_s = (
        max(0.0, run.inherited_until_s - now_s)
        for run in unresolved
        if run.start_resolved_s is None and run.inherited_until_s is not None
    )
    return min([SHORT_WAIT_S, *settled_in_s])
