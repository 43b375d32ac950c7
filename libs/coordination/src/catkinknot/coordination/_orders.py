"""Send orders to servers and act on their answers."""

import threading
from collections.abc import Callable
from concurrent.futures import Executor, ThreadPoolExecutor

from loguru import logger

from catkinknot.model import Clock

from ._cluster_state import ClusterState
from ._reports import note_order
from ._servers import OrderOutcome, OrderReply, ServerCalls, StartOrder, StopOrder
from ._views import RunView, ServerView

__all__ = ["LEASE_S", "OrderSender"]

LEASE_S = 7.0
"""How long a server keeps its work without hearing from the leader."""

START_ATTEMPT_COUNT = 3
"""How often a start without an answer is sent before the run is given up."""

STOP_ATTEMPT_COUNT = 3
"""How often a stop without an answer is sent in a row."""

RETRY_S = 0.15
"""Pause before an order is sent again."""

SENDER_COUNT = 40
"""Orders that are under way at once."""


class OrderSender:
    """Send starts and stops, each on a thread of a pool."""

    def __init__(
        self,
        calls: ServerCalls,
        *,
        token: int,
        clock: Clock,
        lease_end: Callable[[], float],
        on_fenced: Callable[[], None],
        stopped: threading.Event,
        pool: Executor | None = None,
    ) -> None:
        """Keep the parts.

        Args:
            calls: Reaches the servers.
            token: The leader's epoch.
            clock: Where time comes from.
            lease_end: Returns the latest time to which a lease may be granted.
            on_fenced: Told when a server has heard from a later leader.
            stopped: Set when this leader is done.
            pool: Runs the orders; threads of its own by default.
        """
        self._calls = calls
        self._token = token
        self._clock = clock
        self._lease_end = lease_end
        self._on_fenced = on_fenced
        self._stopped = stopped
        self._pool = pool or ThreadPoolExecutor(SENDER_COUNT, thread_name_prefix="order")
        self._log = logger.bind(part="orders", epoch=token)

    def close(self) -> None:
        """Send nothing more."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def start(self, cluster: ClusterState, view: ServerView, run: RunView) -> None:
        """Start a run whose record is in the store."""
        self._submit(self._start, cluster, view, run)

    def stop(self, cluster: ClusterState, view: ServerView, run: RunView) -> None:
        """Stop a run."""
        self._submit(self._stop, cluster, view, run)

    def _submit(self, action: Callable[..., None], *args: object) -> None:
        """Run an order on the pool, unless this leader is done."""
        try:
            self._pool.submit(self._guard, action, *args)
        except RuntimeError:
            self._log.debug("An order was dropped; this leader is done.")

    def _guard(self, action: Callable[..., None], *args: object) -> None:
        """Log what an order raises; a run must not vanish in a thread."""
        try:
            action(*args)
        except Exception:
            self._log.exception("An order failed.")

    def _start(self, cluster: ClusterState, view: ServerView, run: RunView) -> None:
        """Send a start until it is answered, then give the run up."""
        for _ in range(START_ATTEMPT_COUNT):
            order = self._make_start_order(cluster, view, run)
            if order is None or self._stopped.is_set():
                return
            reply = self._calls.start(view.listing, order)
            self._log.bind(
                task=run.task, run=run.run, server=view.lifetime, answer=reply.outcome.value
            ).info("A start was sent.")
            note_order(cluster, view, reply.outcome is not OrderOutcome.NO_ANSWER)
            if self._handle_start_reply(cluster, view, run, reply):
                return
            if reply.outcome is OrderOutcome.NO_ANSWER:
                run.doubtful = True
                self._stopped.wait(RETRY_S)
        with cluster.lock:
            if view.runs.get(run.task) is not run:
                return
            if run.doubtful:
                state = cluster.jobs[run.key.job].steps[run.key]
                cluster.stop_task(state, run.index, "its start got no answer")
            else:
                cluster.end_unstarted(view, run, "it came too late every time")

    def _make_start_order(
        self, cluster: ClusterState, view: ServerView, run: RunView
    ) -> StartOrder | None:
        """Return the order, or None if the run is not wanted any more."""
        with cluster.lock:
            if view.runs.get(run.task) is not run or view.listing is None:
                return None
            if run.stopping and not run.doubtful:
                cluster.end_unstarted(view, run, "it was stopped before it was sent")
                return None
            if run.stopping:
                return None
            if view.unresponsive_since_s is not None and not run.doubtful:
                cluster.end_unstarted(view, run, "its server does not answer")
                return None
            job = cluster.jobs[run.key.job].job
            task = cluster.jobs[run.key.job].steps[run.key].tasks[run.index]
            now_s = self._clock.now()
            until_ms = view.until_ms(min(now_s + LEASE_S, self._lease_end()), now_s)
            return StartOrder(
                run.task, run.run, job.payload, until_ms, self._token, task.checkpoint
            )

    def _handle_start_reply(
        self, cluster: ClusterState, view: ServerView, run: RunView, reply: OrderReply
    ) -> bool:
        """Act on the answer to a start; return whether it settles the matter."""
        now_s = self._clock.now()
        match reply.outcome:
            case OrderOutcome.NO_ANSWER:
                return False
            case OrderOutcome.DONE:
                with cluster.lock:
                    view.note_clock(reply.clock_ms, now_s)
                    run.confirmed = True
                    run.start_resolved_s = now_s
                return True
            case OrderOutcome.TOO_LATE:
                # Its clock was not known well enough; the answer tells it.
                with cluster.lock:
                    view.note_clock(reply.clock_ms, now_s)
                return False
            case OrderOutcome.FENCED:
                self._on_fenced()
                return True
            case OrderOutcome.OTHER_LIFETIME:
                # The new lifetime may have taken the order under the old identity.
                self._calls.stop(view.listing, StopOrder(run.task, run.run, self._token))
                cluster.mark_server_lost(view, "another lifetime answers")
                return True
        if reply.outcome is OrderOutcome.UNHEALTHY:
            view.quarantined_until_s = now_s + 2.0
        if run.doubtful:
            return False
        cluster.end_unstarted(view, run, reply.outcome.value)
        return True

    def _stop(self, cluster: ClusterState, view: ServerView, run: RunView) -> None:
        """Send a stop until it is answered."""
        for _ in range(STOP_ATTEMPT_COUNT):
            if self._stopped.is_set() or view.listing is None:
                return
            if view.unresponsive_since_s is not None:
                # The stop is repeated when the server answers again; until
                # then it would only hold up the orders to others.
                return
            reply = self._calls.stop(view.listing, StopOrder(run.task, run.run, self._token))
            self._log.bind(
                task=run.task, run=run.run, server=view.lifetime, answer=reply.outcome.value
            ).info("A stop was sent.")
            note_order(cluster, view, reply.outcome is not OrderOutcome.NO_ANSWER)
            match reply.outcome:
                case OrderOutcome.FENCED:
                    self._on_fenced()
                    return
                case OrderOutcome.OTHER_LIFETIME:
                    cluster.mark_server_lost(view, "another lifetime answers")
                    return
                case OrderOutcome.NO_ANSWER | OrderOutcome.UNHEALTHY:
                    self._stopped.wait(RETRY_S)
                case _:
                    with cluster.lock:
                        run.stop_acknowledged = True
                        run.start_resolved_s = self._clock.now()
                    return
