"""One instance on the users' platform, assembled from its parts."""

import os
import signal
import sys
import threading
from collections.abc import Callable
from contextlib import ExitStack, contextmanager
from math import inf, isfinite

from loguru import logger

from catkinknot.coordination import (
    JOBS,
    LEAD_KEY,
    AppendCombiner,
    Claim,
    Election,
    JobService,
    Leader,
    PeerList,
    Record,
    StoreRouter,
    Tail,
)
from catkinknot.jobs import Configuration, JobRegistry
from catkinknot.journal import open_json_logs
from catkinknot.model import SystemClock
from catkinknot.model.exceptions import BadInputError
from catkinknot.platform import (
    CONFIG_KEY,
    CONFIG_TOPIC,
    Endpoint,
    Ingress,
    PlatformListing,
    PlatformServerClient,
    PlatformSettings,
    PlatformStore,
    decode_config,
    load_settings,
    metrics_page,
    open_server,
    readiness,
    relay,
    settings_path,
)

from ._metrics import NodeMetrics
from ._settings_watch import SettingsWatcher

__all__ = ["Node", "run_node"]

LEADER_READ_PAUSE_S = 0.03
"""Pause between the leader's reads of the ledger; short since it acts on each record."""

STANDBY_COUNT = 3
"""Instances that are the first to claim a vacant leadership."""

STANDBY_READ_PAUSE_S = 0.1
"""Pause of these instances, which have to notice a resignation soon."""

FOLLOWER_READ_PAUSE_S = 0.4
"""Pause of other instances, which also read at once when a call needs it."""

CONFIG_READ_PAUSE_S = 0.5
"""Pause between reads of the operator's topic, which holds the configuration."""

MAX_LEDGER_AGE_S = 2.5
"""Time without a response of the store after which the instance is not ready.

From then on, callers are served better by another instance.
"""

RESTART_PAUSE_S = 0.2
"""Pause before a background thread's function is called again after a failure."""

SETTINGS_POLL_S = 0.5
"""Time between two reads of the settings file."""

CALLER_THREADS = 20
RELAY_THREADS = 24
"""Calls of other instances that are forwarded at once; those that combine wait for each other."""

IDLE_TIMEOUT_S = 15.0
STOP_MARGIN_S = 3.0
"""Time before the kill at which the HTTP servers accept no more calls."""

ANSWER_MARGIN_S = 2.0
"""Time before the kill at which the last call has its answer."""

DRAIN_TIMEOUT_S = STOP_MARGIN_S - ANSWER_MARGIN_S + 0.2
"""Time for calls in progress to be answered once no more are accepted."""

MIN_DRAIN_S = 0.5
"""Shortest time for which a stopping instance goes on serving."""

INTERNAL_DRAIN_TIMEOUT_S = 0.1
"""The same for the calls of other instances, of the load balancer and for metrics."""


class CurrentConfig:
    """Newest configuration that was read; an older version never replaces it."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self._log = logger.bind(part="config")
        self.current: Configuration | None = None

    def get(self) -> Configuration | None:
        """Return the configuration in force, or None."""
        return self.current

    def apply_snapshot(self, records: dict[str, bytes]) -> None:
        """Apply the newest record of each key of the operator's topic."""
        if CONFIG_KEY in records:
            self.apply_records((Record(CONFIG_KEY, records[CONFIG_KEY]),))

    def apply_records(self, records: tuple[Record, ...]) -> None:
        """Apply new records of the operator's topic."""
        for record in records:
            if record.key == CONFIG_KEY and record.value:
                self._apply(record.value)

    def _apply(self, raw: bytes) -> None:
        """Put a configuration in force if its version is higher."""
        try:
            cfg = decode_config(raw)
        except BadInputError as exc:
            self._log.bind(code=int(exc.code), reason=exc.message[:300]).error(
                "A configuration can't be read."
            )
            return
        if self.current is not None and cfg.version <= self.current.version:
            return
        self._log.bind(version=cfg.version, queues=len(cfg.queues)).info(
            "A configuration is in force."
        )
        self.current = cfg


class Node:
    """One instance: its clients, services and leader election."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Create the parts; no thread is started yet.

        Args:
            settings: Settings from the platform.
        """
        self.settings = settings
        self.clock = SystemClock()
        self.answer_by_s = inf
        self.metrics = NodeMetrics()
        self.config = CurrentConfig()
        self.peers = PeerList(
            settings.instance,
            str(settings.relay),
            cores=settings.cores,
            seeds=settings.seeds,
            make_route=_route_through,
        )
        self.direct_store = AppendCombiner(
            PlatformStore(settings.store.host, settings.store.port), clock=self.clock
        )
        self.store = StoreRouter(
            self.direct_store,
            peers=self.peers.routes,
            combiner=lambda: self.peers.address_of(self.election.leader),
            clock=self.clock,
            observe=self.metrics.observe_store,
        )
        self.servers = PlatformServerClient(self.clock)
        self.listing = PlatformListing(self.store)
        self.registry = JobRegistry()
        self.jobs_tail = Tail(
            self.store,
            JOBS,
            clock=self.clock,
            on_snapshot=self._apply_snapshot,
            on_records=self._apply_records,
            pause_s=self._ledger_read_pause_s,
        )
        self.config_tail = Tail(
            self.store,
            CONFIG_TOPIC,
            clock=self.clock,
            on_snapshot=self.config.apply_snapshot,
            on_records=self.config.apply_records,
            pause_s=lambda: CONFIG_READ_PAUSE_S,
        )
        self.election = Election(
            settings.instance,
            store=self.store,
            tail=self.jobs_tail,
            clock=self.clock,
            make_leader=self._make_leader,
            rank=lambda: self.peers.rank,
        )
        self.job_service = JobService(
            store=self.store,
            tail=self.jobs_tail,
            registry=self.registry,
            config=self.config.get,
            clock=self.clock,
        )
        self.ingress = Ingress(
            self.job_service,
            clock=self.clock,
            config=self.config.get,
            observe=self.metrics.observe_call,
            answer_by_s=lambda: self.answer_by_s,
        )

    def _ledger_read_pause_s(self) -> float:
        """Return the pause between two reads of the ledger, by the role of this instance."""
        if self.election.leading:
            return LEADER_READ_PAUSE_S
        rank = self.peers.rank
        if rank is not None and rank < STANDBY_COUNT:
            return STANDBY_READ_PAUSE_S
        return FOLLOWER_READ_PAUSE_S

    def ready(self) -> bool:
        """Return whether callers should be sent to this instance."""
        ledger_age_s = self.clock.now() - self.jobs_tail.last_response_s
        initialized = self.config.current is not None and self.jobs_tail.next_offset is not None
        return initialized and ledger_age_s < MAX_LEDGER_AGE_S and not self.stopping

    @property
    def stopping(self) -> bool:
        """Whether this instance has been told to stop."""
        return isfinite(self.answer_by_s)

    def drain(self) -> None:
        """Hand over the leadership, and keep serving until the load balancer sends no more."""
        grace_s = self.settings.grace_s
        self.answer_by_s = self.clock.now() + max(0.0, grace_s - ANSWER_MARGIN_S)
        self.election.resign()
        self.clock.sleep(max(MIN_DRAIN_S, grace_s - STOP_MARGIN_S))

    def _make_leader(self, claim: Claim) -> Leader:
        """Create the leader for a claim."""
        return Leader(
            claim,
            instance=self.settings.instance,
            store=self.store,
            registry=self.registry,
            listing=self.listing,
            calls=self.servers,
            config=self.config.get,
            clock=self.clock,
            answered_s=lambda: self.jobs_tail.last_response_s,
        )

    def _apply_snapshot(self, records: dict[str, bytes]) -> None:
        """Apply the newest record of each key of the ledger."""
        self.registry.replace(records)
        if LEAD_KEY in records:
            self.election.on_leader_record(records[LEAD_KEY], fresh=False)
        leader = self.election.leading
        if leader is not None:
            leader.apply_changes(entry.job.id for entry in self.registry.entries())

    def _apply_records(self, records: tuple[Record, ...]) -> None:
        """Apply new records of the ledger."""
        changed_jobs = []
        for record in records:
            if record.key == LEAD_KEY:
                self.election.on_leader_record(record.value)
                continue
            job_id = self.registry.apply(record.key, record.value)
            if job_id is not None:
                changed_jobs.append(job_id)
        leader = self.election.leading
        if leader is not None and changed_jobs:
            leader.apply_changes(dict.fromkeys(changed_jobs))


def _run_with_restart(target: Callable[[threading.Event], None], stopped: threading.Event) -> None:
    """Call a function until it is stopped; after an exception, wait and call it again."""
    while not stopped.is_set():
        try:
            target(stopped)
        except Exception:
            logger.bind(part="main").exception("A background thread failed and is restarted.")
            stopped.wait(RESTART_PAUSE_S)


def _route_through(address: str) -> PlatformStore:
    """Return the route to the store through the relay of another instance."""
    host, _, port = address.rpartition(":")
    return PlatformStore(host, int(port))


@contextmanager
def _background_threads(targets: dict[str, Callable[[threading.Event], None]]):
    """Run each function on its own thread until the context closes.

    Args:
        targets: Functions by name of the thread; each gets the event that stops it.
    """
    stopped = threading.Event()
    threads = [
        threading.Thread(target=_run_with_restart, args=(target, stopped), name=name, daemon=True)
        for name, target in targets.items()
    ]
    for thread in threads:
        thread.start()
    try:
        yield stopped
    finally:
        stopped.set()


def run_node() -> int:
    """Run one instance until a signal stops it.

    Returns:
        The exit status: 0 after a graceful stop, 2 if the settings can't be read.
    """
    path = settings_path()
    try:
        settings = load_settings(path)
    except BadInputError as exc:
        logger.bind(code=int(exc.code)).error(exc.message)
        return 2
    node = Node(settings)
    with open_json_logs(settings.instance, observe=node.metrics.observe_line) as writer:
        node.metrics.add_refresher(lambda: _set_gauges(node, writer.dropped))
        _serve(node, path)
    if _unfinished_threads():
        # The interpreter would wait for them, past the end of the grace time.
        sys.stdout.flush()
        os._exit(0)
    return 0


def _unfinished_threads() -> list[str]:
    """Return the names of the threads that the interpreter would wait for before it exits."""
    return [
        thread.name
        for thread in threading.enumerate()
        if not thread.daemon and thread is not threading.main_thread()
    ]


def _set_gauges(node: Node, dropped: int) -> None:
    """Set the gauges to the present state of the instance."""
    leader = node.election.leading
    gauges = {
        "config_version": node.config.current.version if node.config.current else 0,
        "ledger_offset": node.jobs_tail.next_offset or 0,
        "ledger_age_seconds": node.clock.now() - node.jobs_tail.last_response_s,
        "leading": int(leader is not None),
        "epoch": node.election.epoch,
        "jobs": len(node.registry.entries()),
        "runs": leader.cluster.count_runs() if leader else 0,
        "log_lines_dropped_total": dropped,
    }
    for name, value in gauges.items():
        node.metrics.set(name, value)


def _serve(node: Node, path) -> None:
    """Serve until the platform sends a stop signal."""
    log = logger.bind(part="main")
    stop_requested = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop_requested.set())
    signal.signal(signal.SIGINT, lambda *_: stop_requested.set())
    reload_requested = threading.Event()
    signal.signal(signal.SIGHUP, lambda *_: reload_requested.set())
    settings = node.settings
    watcher = SettingsWatcher(path, settings)
    metrics_endpoint = Endpoint(settings.ip, settings.metrics_port)
    with ExitStack() as stack:
        stack.enter_context(
            _background_threads(
                {
                    "jobs-tail": node.jobs_tail.follow,
                    "config-tail": node.config_tail.follow,
                    "election": node.election.run,
                    "peers": lambda stopped: node.peers.run(node.store, stopped),
                }
            )
        )
        stack.enter_context(
            open_server(
                node.ingress,
                settings.callers,
                threads=CALLER_THREADS,
                idle_s=IDLE_TIMEOUT_S,
                drain_s=DRAIN_TIMEOUT_S,
            )
        )
        for app, endpoint, threads in (
            (readiness(node.ready), settings.readiness, 1),
            (metrics_page(node.metrics.text), metrics_endpoint, 1),
            (
                relay(settings.store.host, settings.store.port, store=node.direct_store),
                settings.relay,
                RELAY_THREADS,
            ),
        ):
            stack.enter_context(
                open_server(
                    app,
                    endpoint,
                    threads=threads,
                    idle_s=IDLE_TIMEOUT_S,
                    drain_s=INTERNAL_DRAIN_TIMEOUT_S,
                )
            )
        log.bind(zone=settings.zone, callers=str(settings.callers)).info("The instance is up.")
        while not stop_requested.wait(SETTINGS_POLL_S):
            requested = reload_requested.is_set()
            if requested:
                reload_requested.clear()
            watcher.poll(requested=requested)
        log.info("The instance is told to stop.")
        node.drain()
    log.bind(unfinished=_unfinished_threads()).info("The instance has stopped.")
