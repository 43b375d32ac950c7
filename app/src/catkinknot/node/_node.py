"""Wire one instance on the users' platform."""

import signal
import threading
from collections.abc import Callable
from contextlib import ExitStack, contextmanager

from loguru import logger

from catkinknot.coordination import (
    JOBS,
    LEAD_KEY,
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

LEAD_PAUSE_S = 0.03
"""Pause between reads of the ledger by the leader, who acts on what it reads."""

FOLLOW_PAUSE_S = 0.4
"""The same for other instances, which read at once when a caller asks."""

CONFIG_PAUSE_S = 0.5
"""Pause between reads of the operator's topic."""

UNREADY_S = 2.5
"""Time without the store after which callers are better off elsewhere."""

RESTART_S = 0.2
"""Pause before a part that broke begins again."""

SETTINGS_LOOK_S = 0.5
"""Time between two looks at the settings file."""

CALLER_THREADS = 20
RELAY_THREADS = 8
IDLE_S = 15.0
DRAIN_S = 1.5
STOP_MARGIN_S = 2.5
"""Time before the kill at which the doors close."""


class ConfigHolder:
    """Hold the newest configuration that was seen, and never go back."""

    def __init__(self) -> None:
        """Begin with none."""
        self._log = logger.bind(part="config")
        self.current: Configuration | None = None

    def get(self) -> Configuration | None:
        """Return the configuration in force."""
        return self.current

    def take_snapshot(self, records: dict[str, bytes]) -> None:
        """Take the newest record of each key of the operator's topic."""
        if CONFIG_KEY in records:
            self.take_records((Record(CONFIG_KEY, records[CONFIG_KEY]),))

    def take_records(self, records: tuple[Record, ...]) -> None:
        """Take records of the operator's topic."""
        for record in records:
            if record.key == CONFIG_KEY and record.value:
                self._take(record.value)

    def _take(self, raw: bytes) -> None:
        """Put a configuration in force unless it is older."""
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
    """Hold the parts of one instance."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Wire the parts; nothing runs yet.

        Args:
            settings: What the platform says.
        """
        self.settings = settings
        self.clock = SystemClock()
        self.stopping = threading.Event()
        self.metrics = NodeMetrics()
        self.config = ConfigHolder()
        self.peers = PeerList(
            settings.instance, str(settings.relay), seeds=settings.seeds, make_route=_way_through
        )
        self.store = StoreRouter(
            PlatformStore(settings.store.host, settings.store.port),
            peers=self.peers.routes,
            clock=self.clock,
            observe=self.metrics.observe_store,
        )
        self.servers = PlatformServerClient()
        self.listing = PlatformListing(self.store)
        self.registry = JobRegistry()
        self.jobs_tail = Tail(
            self.store,
            JOBS,
            clock=self.clock,
            on_snapshot=self._take_snapshot,
            on_records=self._take_records,
            pause_s=lambda: LEAD_PAUSE_S if self.election.leading else FOLLOW_PAUSE_S,
        )
        self.config_tail = Tail(
            self.store,
            CONFIG_TOPIC,
            clock=self.clock,
            on_snapshot=self.config.take_snapshot,
            on_records=self.config.take_records,
            pause_s=lambda: CONFIG_PAUSE_S,
        )
        self.election = Election(
            settings.instance,
            store=self.store,
            tail=self.jobs_tail,
            clock=self.clock,
            make_leader=self._make_leader,
        )
        self.desk = JobService(
            store=self.store,
            tail=self.jobs_tail,
            registry=self.registry,
            config=self.config.get,
            clock=self.clock,
        )
        self.ingress = Ingress(
            self.desk,
            clock=self.clock,
            config=self.config.get,
            observe=self.metrics.observe_call,
            closing=self.stopping.is_set,
        )

    def ready(self) -> bool:
        """Tell whether callers should come here."""
        silent_s = self.clock.now() - self.jobs_tail.last_response_s
        known = self.config.current is not None and self.jobs_tail.next_offset is not None
        return known and silent_s < UNREADY_S and not self.stopping.is_set()

    def _make_leader(self, claim: Claim) -> Leader:
        """Wire a leader for a claim."""
        return Leader(
            claim,
            instance=self.settings.instance,
            store=self.store,
            registry=self.registry,
            listing=self.listing,
            calls=self.servers,
            config=self.config.get,
            clock=self.clock,
        )

    def _take_snapshot(self, records: dict[str, bytes]) -> None:
        """Take the newest record of each key of the ledger."""
        self.registry.replace(records)
        if LEAD_KEY in records:
            self.election.on_leader_record(records[LEAD_KEY], fresh=False)
        leader = self.election.leading
        if leader is not None:
            leader.apply_changes(entry.job.id for entry in self.registry.entries())

    def _take_records(self, records: tuple[Record, ...]) -> None:
        """Take records of the ledger as they come."""
        changed = []
        for record in records:
            if record.key == LEAD_KEY:
                self.election.on_leader_record(record.value)
                continue
            job_id = self.registry.apply(record.key, record.value)
            if job_id is not None:
                changed.append(job_id)
        leader = self.election.leading
        if leader is not None and changed:
            leader.apply_changes(dict.fromkeys(changed))


def _keep_running(part: Callable[[threading.Event], None], stopped: threading.Event) -> None:
    """Run a part, and begin again after a fault in it."""
    while not stopped.is_set():
        try:
            part(stopped)
        except Exception:
            logger.bind(part="main").exception("A part broke and begins again.")
            stopped.wait(RESTART_S)


def _way_through(address: str) -> PlatformStore:
    """Return the way to the store through another instance."""
    host, _, port = address.rpartition(":")
    return PlatformStore(host, int(port))


@contextmanager
def _threads(parts: dict[str, Callable[[threading.Event], None]]):
    """Run parts on threads of their own until the context closes."""
    stopped = threading.Event()
    threads = [
        threading.Thread(target=_keep_running, args=(part, stopped), name=name, daemon=True)
        for name, part in parts.items()
    ]
    for thread in threads:
        thread.start()
    try:
        yield stopped
    finally:
        stopped.set()


def run_node() -> int:
    """Run one instance until it is told to stop.

    Returns:
        The exit status: 0 after a graceful stop, 2 for settings that can't be read.
    """
    path = settings_path()
    try:
        settings = load_settings(path)
    except BadInputError as exc:
        logger.bind(code=int(exc.code)).error(exc.message)
        return 2
    node = Node(settings)
    with open_json_logs(settings.instance, observe=node.metrics.observe_line) as writer:
        node.metrics.before_reading(lambda: _set_gauges(node, writer.dropped))
        _serve(node, path)
    return 0


def _set_gauges(node: Node, dropped: int) -> None:
    """Set the gauges to what the instance knows now."""
    leader = node.election.leading
    known = {
        "config_version": node.config.current.version if node.config.current else 0,
        "ledger_offset": node.jobs_tail.next_offset or 0,
        "ledger_age_seconds": node.clock.now() - node.jobs_tail.last_response_s,
        "leading": int(leader is not None),
        "epoch": node.election.epoch,
        "jobs": len(node.registry.entries()),
        "runs": leader.cluster.count_runs() if leader else 0,
        "log_lines_dropped_total": dropped,
    }
    for name, value in known.items():
        node.metrics.set(name, value)


def _serve(node: Node, path) -> None:
    """Serve until the platform says stop."""
    log = logger.bind(part="main")
    told = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: told.set())
    signal.signal(signal.SIGINT, lambda *_: told.set())
    asked = threading.Event()
    signal.signal(signal.SIGHUP, lambda *_: asked.set())
    settings = node.settings
    watch = SettingsWatcher(path, settings)
    metrics_at = Endpoint(settings.ip, settings.metrics_port)
    drained_s = max(0.5, settings.grace_s - STOP_MARGIN_S)
    with ExitStack() as stack:
        stack.enter_context(
            _threads(
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
                idle_s=IDLE_S,
                drain_s=DRAIN_S,
            )
        )
        for app, at, threads in (
            (readiness(node.ready), settings.readiness, 1),
            (metrics_page(node.metrics.text), metrics_at, 1),
            (relay(settings.store.host, settings.store.port), settings.relay, RELAY_THREADS),
        ):
            stack.enter_context(open_server(app, at, threads=threads, idle_s=IDLE_S, drain_s=0.2))
        log.bind(zone=settings.zone, callers=str(settings.callers)).info("The instance is up.")
        while not told.wait(SETTINGS_LOOK_S):
            told_to_read = asked.is_set()
            if told_to_read:
                asked.clear()
            watch.poll(asked=told_to_read)
        log.info("The instance is told to stop.")
        node.stopping.set()
        node.election.resign()
        node.clock.sleep(drained_s)
    log.info("The instance has stopped.")
