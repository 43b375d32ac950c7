"""Create the parts of one instance and connect them."""

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

_WORKER_THREAD_COUNT = 24
_APPENDER_CLOSE_TIMEOUT_S = 5.0
_FAULT_BACKOFF_S = 0.5

log = part_logger("main")


@dataclass(frozen=True)
class ExternalServices:
    """External systems that an instance uses; tests replace them by fakes.

    Attributes:
        log: The client of the platform's log.
        listing: The client of the platform's instance list.
        connect: Connects to a backend server.
        clock: The source of time.
    """

    log: LogClient
    listing: Listing
    connect: Connect = connect_http
    clock: Clock = field(default_factory=SystemClock)


@dataclass(frozen=True)
class Instance:
    """Running instance, as its HTTP server uses it.

    Attributes:
        settings: The settings of the instance.
        context: The context that the parts share.
        jobs: Handles callers' requests.
        configs: Handles operators' configurations.
        status: Answers status requests.
        duties: Runs the periodic work.
        keeper: Claims and keeps the lease on this instance's zone.
        zone_manager: The manager of this instance's zone.
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
        """Return whether callers may be routed to this instance."""
        return self.context.book.current() is not None and not self.duties.leaving

    def leave(self) -> None:
        """Accept no new work from now on, and let another instance claim the zone."""
        self.context.ring.add("main", "instance.leaving")
        self.duties.leave()
        self.keeper.leave()

    def drained(self) -> bool:
        """Return whether no work is left that only this instance can finish."""
        return self.zone_manager.zone_lease() is None or not self.zone_manager.busy()


def connect_services(settings: Settings) -> ExternalServices:
    """Create the clients of the systems that the settings name."""
    return ExternalServices(HttpLogClient(settings.log), HttpListing(settings.instance_list))


@contextmanager
def open_instance(settings: Settings, external: ExternalServices) -> Iterator[Instance]:
    """Run all parts of an instance except its HTTP server while the block runs.

    Args:
        settings: The checked settings.
        external: The external systems.

    Yields:
        The instance.
    """
    with ThreadPoolExecutor(_WORKER_THREAD_COUNT, thread_name_prefix="worker") as pool:
        context = _build_context(settings, external, pool)
        view = MembershipView(settings.instance, settings.zone, clock=external.clock)
        zone_manager = ZoneManager(context, view)
        lease_manager = ZoneLeaseManager(
            context.holder,
            view,
            LogClaims(context),
            zone=settings.zone,
            clock=external.clock,
            changed=zone_manager.set_holding,
        )
        zone_manager.on_deposed(lease_manager.deposed)
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
            periodic_worker = PeriodicWorker(
                context, external.listing, view, lease_manager, zone_manager, node
            )
            zone_manager.on_changed(periodic_worker.announce)
            context.book.add_listener(lambda _: periodic_worker.announce())
            node.on_disconnect(view.mark_remote_unreachable)
            status = StatusService(context, view, zone_manager, node, window, periodic_worker)
            peer_handler.status = status
            instance = Instance(
                settings,
                context,
                JobService(context, view, zone_manager, node, window),
                ConfigService(context, view),
                status,
                periodic_worker,
                lease_manager,
                zone_manager,
                _read_operator_token(settings),
            )
            _subscribe(context, zone_manager)
            context.reader.start()
            context.appender.start()
            periodic_worker.start()
            try:
                yield instance
            finally:
                periodic_worker.close()
                lease_manager.release()
                context.appender.close(_APPENDER_CLOSE_TIMEOUT_S)
                context.reader.close()


def _build_context(
    settings: Settings, external: ExternalServices, pool: ThreadPoolExecutor
) -> InstanceContext:
    """Build the context that the parts share."""
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
    """Return a function that runs other functions on the pool and logs their exceptions."""

    def guarded(function: Callable, *args) -> None:
        """Run a function and log any exception."""
        try:
            function(*args)
        except Exception:
            # No thread waits for the result, so the exception can only be logged.
            log.exception("A background task failed.")

    def spawn(function: Callable, *args) -> None:
        """Run a function on a thread of the pool."""
        try:
            pool.submit(guarded, function, *args)
        except RuntimeError:
            log.debug("A background task was dropped, as the instance is closing.")

    return spawn


def _launch(name: str, step: Callable[[], bool]) -> None:
    """Repeat a step on its own thread until it returns False."""

    def repeat() -> None:
        """Run the step until it returns False, also after exceptions."""
        going = True
        while going:
            try:
                going = step()
            except Exception:
                # If the thread ended here, its zone would stay held but not be served.
                log.exception("A step of thread {} failed.", name)
                time.sleep(_FAULT_BACKOFF_S)

    threading.Thread(target=repeat, name=name, daemon=True).start()


def _subscribe(context: InstanceContext, zone_manager: ZoneManager) -> None:
    """Pass configurations and log records to the parts that act on them."""
    context.book.add_listener(zone_manager.apply_config)
    context.book.add_listener(lambda current: _add_config_event(context, current.version))

    def apply_entry(applied: AppliedEntry) -> None:
        """Apply one record of the log."""
        if applied.entry.writer == context.holder:
            context.appender.confirm(applied.entry.seq, applied.verdict)
        try:
            _add_record_event(context, applied)
            zone_manager.apply_log_record(applied)
        except Exception:
            # The reader must continue; its state has this record's effect already.
            log.exception("The handling of log record {} failed.", applied.entry.offset)

    context.reader.add_listener(apply_entry)
    threading.Thread(
        target=_follow_config, args=(context,), name="config-follower", daemon=True
    ).start()


def _follow_config(context: InstanceContext) -> None:
    """Apply the newest configuration in the log's state, also one read from a snapshot."""
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


def _add_config_event(context: InstanceContext, version: int) -> None:
    """Add an event for a configuration change."""
    context.ring.add("config", "config.in_force", f"version {version}", offset=version - 1)
    log.info("Configuration version {} is in force.", version)


def _add_record_event(context: InstanceContext, applied: AppliedEntry) -> None:
    """Add events for corrupt records, refused configurations and refused claims."""
    offset = applied.entry.offset
    match applied.record:
        case None:
            context.ring.add("log", "record.corrupt", applied.verdict.message, offset=offset)
            log.error("Log record {} is corrupt and was skipped.", offset)
        case ConfigPublished() | ZoneClaimed() if not applied.verdict.ok:
            context.ring.add("log", "record.refused", applied.verdict.message, offset=offset)


def _read_operator_token(settings: Settings) -> str:
    """Return the operators' token from its file, empty if there is no file."""
    name = settings.keys.operator_token
    return Path(name).read_text().strip() if name else ""
