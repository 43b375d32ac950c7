"""Wire the parts of one instance together."""

import threading
import time
import uuid
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from catkinknot.journal import EventRing, LogicalClock, Metrics, ServiceWindow, part_logger
from catkinknot.membership import HttpListing, Listing, MembershipView, ZoneLeaseManager
from catkinknot.model import Clock, Settings, SystemClock
from catkinknot.peers import load_peer_keys, open_node
from catkinknot.platformlog import (
    Appender,
    AppliedEntry,
    ConfigPublished,
    HttpLogClient,
    LogClient,
    LogReader,
    ZoneClaimed,
)

from ._claims import LogClaims
from ._config_registry import ConfigRegistry
from ._config_service import ConfigService
from ._context import InstanceContext
from ._job_service import JobService
from ._messages import MessageCodec
from ._peer_handler import PeerHandler
from ._periodic import PeriodicWorker
from ._servers import ClientPool, Connect, connect_http
from ._status import StatusService
from ._zone_manager import ZoneManager

__all__ = ["ExternalServices", "Instance", "open_instance"]

_WORKERS = 24
_CLOSE_APPENDS_S = 5.0
_AFTER_FAULT_S = 0.5

log = part_logger("main")


@dataclass(frozen=True)
class ExternalServices:
    """Name the systems outside, so that tests can put fakes in their place.

    Attributes:
        log: The platform's log.
        listing: The platform's list of instances.
        connect: Connects to a backend server.
        clock: Where time comes from.
    """

    log: LogClient
    listing: Listing
    connect: Connect = connect_http
    clock: Clock = field(default_factory=SystemClock)


@dataclass(frozen=True)
class Instance:
    """Hold the parts of a running instance that its front needs.

    Attributes:
        settings: Its settings.
        context: The shared parts.
        jobs: Takes callers' requests.
        configs: Takes operators' configurations.
        status: Answers operators.
        duties: Does the periodic work.
        keeper: Decides about this zone.
        zone_manager: This instance's own zone.
        token: The operators' token, empty for none.
    """

    settings: Settings
    context: InstanceContext
    jobs: JobService
    configs: ConfigService
    status: StatusService
    duties: PeriodicWorker
    keeper: ZoneLeaseManager
    zone_manager: ZoneManager
    token: str

    def ready(self) -> bool:
        """Tell whether callers should be sent here."""
        return self.context.book.current() is not None and not self.duties.leaving

    def leave(self) -> None:
        """Take no new work from now on and let another instance have the zone."""
        self.context.ring.add("main", "instance.leaving")
        self.duties.leave()
        self.keeper.leave()

    def quiet(self) -> bool:
        """Tell whether nothing is left that only this instance can finish."""
        return self.zone_manager.zone_lease() is None or not self.zone_manager.busy()


def connect_services(settings: Settings) -> ExternalServices:
    """Connect to the systems that the settings name."""
    return ExternalServices(HttpLogClient(settings.log), HttpListing(settings.instance_list))


@contextmanager
def open_instance(settings: Settings, external: ExternalServices) -> Iterator[Instance]:
    """Run all parts of an instance but its front while the block runs.

    Args:
        settings: The checked settings.
        external: The systems outside.

    Yields:
        The instance.
    """
    with ThreadPoolExecutor(_WORKERS, thread_name_prefix="worker") as pool:
        context = _context(settings, external, pool)
        view = MembershipView(settings.instance, settings.zone, clock=external.clock)
        zone_manager = ZoneManager(context, view)
        keeper = ZoneLeaseManager(
            context.holder,
            view,
            LogClaims(context),
            zone=settings.zone,
            clock=external.clock,
            changed=zone_manager.set_holding,
        )
        zone_manager.on_deposed(keeper.deposed)
        peer_handler = PeerHandler(context, view, zone_manager)
        keys = load_peer_keys(settings.keys.peer_secret)
        stamp = context.ring.clock
        with open_node(
            settings.instance,
            str(settings.peer),
            MessageCodec(),
            peer_handler.handle,
            keys=keys,
            stamp=stamp,
            clock=external.clock,
        ) as node:
            window = ServiceWindow(clock=external.clock)
            duties = PeriodicWorker(context, external.listing, view, keeper, zone_manager, node)
            zone_manager.on_changed(duties.announce)
            context.book.add_listener(lambda _: duties.announce())
            node.on_disconnect(view.mark_remote_unreachable)
            status = StatusService(context, view, zone_manager, node, window, duties)
            peer_handler.status = status
            instance = Instance(
                settings,
                context,
                JobService(context, view, zone_manager, node, window),
                ConfigService(context, view),
                status,
                duties,
                keeper,
                zone_manager,
                _token(settings),
            )
            _listen(context, zone_manager)
            context.reader.start()
            context.appender.start()
            duties.start()
            try:
                yield instance
            finally:
                duties.close()
                keeper.release()
                context.appender.close(_CLOSE_APPENDS_S)
                context.reader.close()


def _context(
    settings: Settings, external: ExternalServices, pool: ThreadPoolExecutor
) -> InstanceContext:
    """Build the shared parts."""
    boot = uuid.uuid4().hex[:8]
    appender = Appender(external.log, f"{settings.instance}:{boot}", clock=external.clock)
    ring = EventRing(settings.instance, LogicalClock(clock=external.clock))
    return InstanceContext(
        instance=settings.instance,
        boot=boot,
        zone=settings.zone,
        book=ConfigRegistry(),
        reader=LogReader(external.log, clock=external.clock),
        appender=appender,
        clients=ClientPool(external.connect),
        ring=ring,
        metrics=Metrics(),
        clock=external.clock,
        spawn=_guarded_spawn(pool),
        launch=_launch,
    )


def _guarded_spawn(pool: ThreadPoolExecutor) -> Callable[..., None]:
    """Return a function that runs others on the pool and reports their faults."""

    def guarded(function: Callable, *args) -> None:
        """Run a function and log what it raises."""
        try:
            function(*args)
        except Exception:
            # Nobody waits for the result, so the log is the only place for it.
            log.exception("A background step failed.")

    def spawn(function: Callable, *args) -> None:
        """Run a function on another thread."""
        try:
            pool.submit(guarded, function, *args)
        except RuntimeError:
            log.debug("A step was dropped, as the instance is closing.")

    return spawn


def _launch(name: str, step: Callable[[], bool]) -> None:
    """Repeat a step on a thread of its own until it says False."""

    def repeat() -> None:
        """Do step after step, whatever one of them raises."""
        going = True
        while going:
            try:
                going = step()
            except Exception:
                # A zone whose thread has died would be held and not served.
                log.exception("A step of {} failed.", name)
                time.sleep(_AFTER_FAULT_S)

    threading.Thread(target=repeat, name=name, daemon=True).start()


def _listen(context: InstanceContext, zone_manager: ZoneManager) -> None:
    """Bring what the log says to the parts that act on it."""
    context.book.add_listener(zone_manager.apply_config)
    context.book.add_listener(lambda current: _note_config(context, current.version))

    def applied(item: AppliedEntry) -> None:
        """Take one record of the log."""
        if item.entry.writer == context.holder:
            context.appender.confirm(item.entry.seq, item.verdict)
        try:
            _note_record(context, item)
            zone_manager.apply_log_record(item)
        except Exception:
            # The reader must go on; what this record meant is in the state.
            log.exception("Record {} on the log was not acted on.", item.entry.offset)

    context.reader.add_listener(applied)
    threading.Thread(
        target=_follow_config, args=(context,), name="config-follower", daemon=True
    ).start()


def _follow_config(context: InstanceContext) -> None:
    """Put the log's newest configuration in force, from a snapshot too."""
    while not context.reader.closed:
        version = context.book.version()
        context.reader.wait_for(
            lambda state, known=version: state.config is not None and state.config.version > known,
            1.0,
        )
        with context.reader.state() as state:
            newest = state.config
        if newest is not None:
            context.book.offer(newest.version, newest.config)


def _note_config(context: InstanceContext, version: int) -> None:
    """Add a configuration change to the time line."""
    context.ring.add("config", "config.in_force", f"version {version}", offset=version - 1)
    log.info("Configuration version {} is in force.", version)


def _note_record(context: InstanceContext, item: AppliedEntry) -> None:
    """Add notable records to the time line."""
    offset = item.entry.offset
    match item.record:
        case None:
            context.ring.add("log", "record.corrupt", item.verdict.message, offset=offset)
            log.error("Record {} on the log is corrupt and was passed over.", offset)
        case ConfigPublished() | ZoneClaimed() if not item.verdict.ok:
            context.ring.add("log", "record.refused", item.verdict.message, offset=offset)


def _token(settings: Settings) -> str:
    """Read the operators' token."""
    name = settings.keys.operator_token
    return Path(name).read_text().strip() if name else ""
