"""Leader of the cluster: adopts the work of earlier leaders and schedules until deposed."""

import threading
from collections.abc import Callable, Iterable
from contextlib import contextmanager
from dataclasses import dataclass
from math import inf

from loguru import logger

from catkinknot.jobs import (
    Configuration,
    JobRegistry,
    StepKey,
    TaskState,
    read_step,
    read_step_key,
)
from catkinknot.model import Clock
from catkinknot.model.exceptions import BadInputError

from ._cluster_state import ClusterState
from ._orders import OrderSender
from ._planner import Planner
from ._recorder import Recorder
from ._servers import ServerCalls, ServerListing
from ._store import JOBS, RUNS, Store
from ._views import RunView, ServerView
from ._watch import Watcher, needs_watch
from .exceptions import StoreError

__all__ = ["MAX_LEASE_AFTER_WRITE_S", "Claim", "Leader", "lead"]

MAX_LEASE_AFTER_WRITE_S = 12.0
"""Longest time from the last write that the store accepted to the end of any lease."""

PLAN_INTERVAL_S = 0.2
"""Longest time between two planning rounds."""

MIN_PLAN_PAUSE_S = 0.005
"""Shortest pause between two rounds; a longer round is followed by a pause of its own length."""

LISTING_INTERVAL_S = 0.4
"""Time between two polls of the server listing."""


@dataclass(frozen=True, slots=True)
class Claim:
    """Claim of leadership that the store has accepted.

    Attributes:
        epoch: Epoch of the leader.
        nonce: Random value that identifies the claim.
        sent_s: When the claim was sent.
        numbers: Next sequence number, by topic.
        inherited_until_s: When no earlier leader may send a start any more.
    """

    epoch: int
    nonce: str
    sent_s: float
    numbers: dict[str, int]
    inherited_until_s: float


class Leader:
    """Schedules work on all servers until another instance takes over."""

    def __init__(
        self,
        claim: Claim,
        *,
        instance: str,
        store: Store,
        registry: JobRegistry,
        listing: ServerListing,
        calls: ServerCalls,
        config: Callable[[], Configuration | None],
        clock: Clock,
        answered_s: Callable[[], float] = lambda: inf,
    ) -> None:
        """Create the leader for a claim; use `lead` to run it.

        Args:
            claim: The accepted claim.
            instance: Name of this instance.
            store: The store.
            registry: Registry of the jobs in the ledger.
            listing: Source of the server listings.
            calls: Client for the servers.
            config: Returns the configuration in force.
            clock: Source of time.
            answered_s: Returns when the store last answered a read of this instance.
        """
        self._claim = claim
        self._instance = instance
        self._store = store
        self._registry = registry
        self._listing = listing
        self._clock = clock
        self._log = logger.bind(part="leader", epoch=claim.epoch)
        self.stopped = threading.Event()
        self.recorder = Recorder(
            store,
            epoch=claim.epoch,
            instance=instance,
            nonce=claim.nonce,
            first_numbers=claim.numbers,
            confirmed_s=claim.sent_s,
            clock=clock,
            answered_s=answered_s,
        )
        self._orders = OrderSender(
            calls,
            token=claim.epoch,
            clock=clock,
            lease_end=self._lease_end,
            renewed_s=lambda: self.recorder.renewed_s,
            after_renewal=self.recorder.after_renewal,
            on_fenced=self.depose,
            stopped=self.stopped,
        )
        self.cluster = ClusterState(
            self.recorder,
            clock=clock,
            stop_run=lambda view, run, reason: self._orders.stop(self.cluster, view, run),
            on_server_removed=calls.close_connections,
            fence_s=clock.now(),
            max_lease_s=MAX_LEASE_AFTER_WRITE_S,
            inherited_until_s=claim.inherited_until_s,
        )
        self._watcher = Watcher(
            self.cluster,
            calls=calls,
            recorder=self.recorder,
            token=claim.epoch,
            clock=clock,
            lease_end=self._lease_end,
            on_fenced=self.depose,
        )
        self._planner = Planner(
            self.cluster,
            recorder=self.recorder,
            clock=clock,
            config=config,
            start=self._start_runs,
            early_cancels=registry.early_cancels,
        )
        self._threads: list[threading.Thread] = []

    def begin(self) -> None:
        """Take over the recorded work, then start the threads; raises a `StoreError`."""
        recorded = self._read_runs()
        self.cluster.apply_listing(self._listing.list().values())
        for entry in self._registry.entries():
            self.cluster.apply_entry(entry, recorded.get(entry.job.id, {}))
        self._log.bind(jobs=len(self.cluster.jobs), servers=len(self.cluster.servers)).info(
            "This instance has begun to lead."
        )
        for topic in (RUNS, JOBS):
            self._spawn(self.recorder.run, f"recorder-{topic}", topic, self.stopped)
        self._spawn(self._follow_listing, "listing")
        self._spawn(self._decide, "planner")

    def apply_changes(self, job_ids: Iterable[str]) -> None:
        """Apply the ledger entries of changed jobs."""
        for job_id in job_ids:
            entry = self._registry.get(job_id)
            if entry is None:
                self.cluster.remove_job(job_id)
            else:
                self.cluster.apply_entry(entry, {})

    def apply_all(self) -> None:
        """Apply the ledger entry of every job; entries already applied change nothing."""
        self.apply_changes(entry.job.id for entry in self._registry.entries())

    @property
    def deposed(self) -> bool:
        """Whether this leadership has ended."""
        return self.stopped.is_set() or self.recorder.fenced

    def depose(self) -> None:
        """End this leadership."""
        if not self.stopped.is_set():
            self._log.warning("This instance has ceased to lead.")
        self.stopped.set()
        self.cluster.changed.set()

    def resign(self) -> None:
        """Let another instance take over as soon as the store has the record of it."""
        self.recorder.resign()

    def close(self) -> None:
        """End this leadership and wait for its threads."""
        self.depose()
        self._orders.close()
        for thread in self._threads:
            thread.join(timeout=3.0)

    def _lease_end(self) -> float:
        """Return the latest time to which a lease may currently be granted."""
        return self.recorder.confirmed_s + MAX_LEASE_AFTER_WRITE_S

    def _read_runs(self) -> dict[str, dict[StepKey, list[TaskState]]]:
        """Return the task states that earlier leaders recorded, by job and step."""
        found: dict[str, dict[StepKey, list[TaskState]]] = {}
        for text, value in self._store.newest(RUNS).records.items():
            if text.startswith("/") or not value:
                continue
            try:
                key = read_step_key(text)
                entry = self._registry.get(key.job)
                if entry is None:
                    continue
                tasks = read_step(value, entry.job.steps[key.step].count)
            except (BadInputError, IndexError) as exc:
                self._log.bind(key=text, reason=str(exc)[:200]).error("A run record can't be read.")
                continue
            found.setdefault(key.job, {})[key] = tasks
        return found

    def _spawn(self, target: Callable[..., None], name: str, *args: object) -> None:
        """Run a loop of the leader on a thread of its own."""
        thread = threading.Thread(target=self._guard, args=(target, *args), name=name, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _guard(self, target: Callable[..., None], *args: object) -> None:
        """Run a loop of the leader, and end the leadership when it returns or raises."""
        try:
            target(*args)
        except Exception:
            self._log.exception("A thread of the leader failed.")
        finally:
            self.depose()

    def _decide(self) -> None:
        """Plan whenever the cluster state has changed, and at regular intervals."""
        while not self.stopped.is_set():
            self.cluster.changed.wait(PLAN_INTERVAL_S)
            self.cluster.changed.clear()
            if self.stopped.is_set():
                return
            began_s = self._clock.now()
            self._planner.plan()
            self._watch_busy()
            self.stopped.wait(max(MIN_PLAN_PAUSE_S, self._clock.now() - began_s))

    def _watch_busy(self) -> None:
        """Start a watch thread for each server that needs one."""
        with self.cluster.lock:
            for view in list(self.cluster.servers.values()):
                if needs_watch(view) and not view.watched:
                    view.watched = True
                    self._spawn_watch(view)
        self._threads = [thread for thread in self._threads if thread.is_alive()]

    def _spawn_watch(self, view: ServerView) -> None:
        """Start the thread that renews the lease of one server."""

        def watch() -> None:
            try:
                self._watcher.watch(view, self.stopped)
            except Exception:
                self._log.bind(server=view.lifetime).exception(
                    "The watch thread of a server failed."
                )
            finally:
                view.watched = False

        thread = threading.Thread(target=watch, name=f"watch-{view.lifetime}", daemon=True)
        self._threads.append(thread)
        thread.start()

    def _start_runs(self, runs: list[tuple[ServerView, RunView]]) -> None:
        """Send starts once the store has the record of the runs."""

        def send() -> None:
            for view, run in runs:
                self._orders.start(self.cluster, view, run)

        self.recorder.after(send)

    def _follow_listing(self) -> None:
        """Poll the server listing until stopped."""
        unavailable = False
        while not self.stopped.wait(LISTING_INTERVAL_S):
            try:
                self.cluster.apply_listing(self._listing.list().values())
                unavailable = False
            except StoreError as exc:
                if not unavailable:
                    self._log.bind(reason=exc.message).warning("The server listing is unavailable.")
                unavailable = True


@contextmanager
def lead(leader: Leader):
    """Run a leader until the context closes."""
    try:
        leader.begin()
        yield leader
    finally:
        leader.close()
