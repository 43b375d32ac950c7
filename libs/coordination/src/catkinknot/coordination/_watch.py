"""Renew the leases of servers while they have work, and hear of their ends."""

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
"""How long a server may wait for an end before it answers."""

SHORT_WAIT_S = 0.25
"""The same while an order's fate is open."""

RECORD_WAIT_S = 1.0
"""How long to wait for ends to be recorded before the lease is renewed."""

RETRY_S = 0.2
"""Pause after a call without an answer."""

IDLE_RETRY_S = 0.8
"""The same while nothing runs on the server."""


class Watcher:
    """Hold servers; ends are confirmed to them only once the store has them."""

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
        """Keep the parts.

        Args:
            cluster: What the leader knows.
            calls: Reaches the servers.
            recorder: Writes what must last.
            token: The leader's epoch.
            clock: Where time comes from.
            lease_end: Returns the latest time to which a lease may be granted.
            on_fenced: Told when a server has heard from a later leader.
        """
        self._board = cluster
        self._calls = calls
        self._recorder = recorder
        self._token = token
        self._clock = clock
        self._lease_end = lease_end
        self._on_fenced = on_fenced

    def watch(self, view: ServerView, stopped: threading.Event) -> None:
        """Hold a server until it has nothing of ours any more."""
        while not stopped.is_set():
            with self._board.lock:
                if not needs_watch(view):
                    view.watched = False
                    return
                wait_s = _wait_s(view)
            answer = self.hold(view, wait_s)
            if answer.reply.outcome is not OrderOutcome.DONE:
                stopped.wait(RETRY_S if view.runs else IDLE_RETRY_S)
                continue
            recorded = threading.Event()
            if self.acknowledge_recorded_ends(view, answer, recorded) and not recorded.wait(
                RECORD_WAIT_S
            ):
                stopped.wait(RETRY_S)

    def hold(self, view: ServerView, wait_s: float) -> HoldAnswer:
        """Renew a server's lease once, and take what it says.

        A server that does not answer is asked without a new lease: a call
        that got no answer may still be carried out, and its lease would never
        run out.

        Args:
            view: The server.
            wait_s: How long it may wait for an end.
        """
        with self._board.lock:
            now_s = self._clock.now()
            end_s = min(now_s + LEASE_S, self._lease_end())
            renew = end_s > now_s and view.unresponsive_since_s is None
            until_ms = view.until_ms(end_s, now_s) if renew else 0
            seen_end = view.seen_end
            listing = view.listing
        answer = self._calls.hold(
            listing, token=self._token, seen_end=seen_end, until_ms=until_ms, wait_s=wait_s
        )
        if answer.reply.outcome is OrderOutcome.FENCED:
            self._on_fenced()
        else:
            apply_hold_answer(self._board, view, answer, now_s)
        return answer

    def acknowledge_recorded_ends(
        self, view: ServerView, answer: HoldAnswer, recorded: threading.Event
    ) -> bool:
        """Let the server forget ends once they are recorded; return whether there are any."""
        if not answer.ended:
            return False
        last = max(row.number for row in answer.ended)

        def confirm() -> None:
            view.seen_end = max(view.seen_end, last)
            recorded.set()

        self._recorder.after(confirm)
        return True


def needs_watch(view: ServerView) -> bool:
    """Tell whether a server has to be asked again.

    One that fell silent, or whose runs were given up, is asked also when
    nothing runs there: it gets no work until it has answered.
    """
    if view.listing is None:
        return False
    silent = view.listed and (view.lease_expired or view.unresponsive_since_s is not None)
    return bool(view.runs or silent or view.read_end > view.seen_end)


def _wait_s(view: ServerView) -> float:
    """Return how long the server may wait before it answers."""
    if view.read_end > view.seen_end or view.unresponsive_since_s is not None:
        return 0.0
    open_orders = any(run.start_resolved_s is None or run.stopping for run in view.runs.values())
    return SHORT_WAIT_S if open_orders else LONG_WAIT_S
