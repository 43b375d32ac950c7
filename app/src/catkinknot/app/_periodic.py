"""Run the periodic work of an instance, such as heartbeats, claims and snapshots."""

import threading
from concurrent.futures import TimeoutError as FutureTimeoutError

from catkinknot.journal import part_logger
from catkinknot.membership import (
    CROSS_ZONE_PERIOD_S,
    IN_ZONE_PERIOD_S,
    Heartbeat,
    Listing,
    MembershipView,
    ZoneLeaseManager,
)
from catkinknot.model.exceptions import PlatformError, UnreachableError
from catkinknot.peers import PeerNode
from catkinknot.platformlog import SnapshotTaken

from ._context import InstanceContext
from ._messages import AskState, ConfigOffer, StateAnswer
from ._routing import zone_order
from ._zone_manager import ZoneManager

__all__ = ["PeriodicWorker"]

_LIST_PERIOD_S = 1.0
_KEEPER_PERIOD_S = 0.25
_CONFIG_PERIOD_S = 1.0
_HOUSEKEEPING_PERIOD_S = 5.0
_ADOPT_AFTER_S = 10.0
"""Adopt another zone's durable jobs once it has had no holder for this long."""

_STATE_WAIT_S = 2.0

log = part_logger("duties")


class PeriodicWorker:
    """Worker with one thread for each kind of periodic work of an instance."""

    def __init__(
        self,
        context: InstanceContext,
        listing: Listing,
        view: MembershipView,
        keeper: ZoneLeaseManager,
        zone_manager: ZoneManager,
        node: PeerNode,
    ) -> None:
        """Create a worker; `start` starts its threads.

        Args:
            context: The context of this instance.
            listing: The platform's instance list.
            view: The other instances.
            keeper: Claims and keeps the lease on this instance's zone.
            zone_manager: The manager of this instance's zone.
            node: The links to other instances.
        """
        self._context = context
        self._listing = listing
        self._view = view
        self._keeper = keeper
        self._zone_manager = zone_manager
        self._node = node
        self._closed = threading.Event()
        self._leaving = False
        self._sent = 0
        self._vacant_since_s: dict[str, float] = {}
        self._reachable_peers: set[str] = set()
        self._known_peers: set[str] = set()
        self._new_peers: set[str] = set()

    def start(self) -> None:
        """Read the instance list once, then start the threads."""
        self.refresh_listing()
        schedules = (
            ("heartbeats", self.send_heartbeats, IN_ZONE_PERIOD_S),
            ("list", self.refresh_listing, _LIST_PERIOD_S),
            ("keeper", self._keeper.step, _KEEPER_PERIOD_S),
            ("config", self.offer_config, _CONFIG_PERIOD_S),
            ("housekeeping", self.run_housekeeping, _HOUSEKEEPING_PERIOD_S),
        )
        for name, function, period_s in schedules:
            threading.Thread(
                target=self._repeat, args=(function, period_s), name=name, daemon=True
            ).start()

    def close(self) -> None:
        """Stop the threads."""
        self._closed.set()

    def leave(self) -> None:
        """Announce to all peers that this instance accepts no new work."""
        self._leaving = True
        self.send_heartbeats()

    @property
    def leaving(self) -> bool:
        """Whether this instance accepts no new work."""
        return self._leaving

    def send_heartbeats(self) -> None:
        """Send a heartbeat to the zone's peers, and to other zones' less often."""
        self._sent += 1
        heartbeat = self._heartbeat()
        every = round(CROSS_ZONE_PERIOD_S / IN_ZONE_PERIOD_S)
        self._send_to_peers(heartbeat, include_other_zones=self._sent % every == 0 or self._leaving)

    def announce(self) -> None:
        """Send a heartbeat to all peers at once, after a change they rely on."""
        self._sent += 1
        self._send_to_peers(self._heartbeat(), include_other_zones=True)

    def refresh_listing(self) -> None:
        """Read the platform's instance list and update the links to peers."""
        try:
            self._view.apply_list(self._listing.read())
        except PlatformError as exc:
            log.debug("Failed to read the instance list: {}.", exc.message)
            return
        wanted = set()
        for peer in self._view.entries():
            wanted.add(peer.listed.name)
            address = f"{peer.listed.ip}:{peer.listed.peer_port}"
            self._node.connect(peer.listed.name, address)
        if self._new_peers:
            # Their links were opened in the previous round and are ready now.
            self.announce()
        self._new_peers = wanted - self._known_peers
        self._known_peers = wanted
        for name in set(self._node.peers()) - wanted:
            self._node.disconnect(name)
        self._zone_manager.refresh_servers()
        self._record_membership_changes()

    def run_housekeeping(self) -> None:
        """Do the work that may run at long intervals."""
        self._append_snapshot()
        self._fetch_peer_state()
        self._adopt_jobs_of_vacant_zones()
        self._update_gauges()

    def _send_to_peers(self, heartbeat: Heartbeat, *, include_other_zones: bool) -> None:
        """Send a heartbeat to the zone's peers, and to those of other zones if asked."""
        for peer in self._view.entries():
            if include_other_zones or peer.listed.zone == self._context.zone:
                self._node.notify(peer.listed.name, heartbeat)

    def _heartbeat(self) -> Heartbeat:
        """Return a heartbeat with the status of this instance."""
        zone_lease = self._zone_manager.zone_lease()
        status = self._zone_manager.status() if zone_lease else None
        silent_s = self._context.reader.last_response_age_s()
        with self._context.reader.state() as state:
            offset = state.next_offset
        return Heartbeat(
            instance=self._context.instance,
            boot=self._context.boot,
            zone=self._context.zone,
            state="leaving" if self._leaving else "live",
            holds=str(zone_lease) if zone_lease else "",
            config_version=self._context.book.version(),
            log_offset=offset,
            log_silent_s=-1.0 if silent_s is None else round(silent_s, 1),
            free_accelerators=status.free_accelerators if status else 0,
            sent=self._sent,
        )

    def _record_membership_changes(self) -> None:
        """Add events for peers that became reachable or unreachable."""
        reachable_peers = {peer.listed.name for peer in self._view.entries() if peer.reachable}
        for name in reachable_peers - self._reachable_peers:
            self._context.ring.add("membership", "peer.heard", name)
        for name in self._reachable_peers - reachable_peers:
            self._context.ring.add("membership", "peer.silent", name)
        self._reachable_peers = reachable_peers

    def _append_snapshot(self) -> None:
        """Append a snapshot if one is due and this instance holds its zone."""
        if self._zone_manager.zone_lease() is None or not self._context.reader.snapshot_due():
            return
        covers, packed = self._context.reader.packed()
        self._context.appender.append(SnapshotTaken(covers, packed))

    def offer_config(self) -> None:
        """Send the configuration to peers whose heartbeat shows an older one."""
        current = self._context.book.current()
        if current is None:
            return
        offer = ConfigOffer(current.version, current.config)
        for peer in self._view.entries():
            if peer.reachable and peer.heartbeat.config_version < current.version:
                self._node.notify(peer.listed.name, offer)

    def _fetch_peer_state(self) -> None:
        """Load a peer's state of the log while this instance has none."""
        if self._context.reader.caught_up:
            return
        for peer in self._view.entries():
            if not peer.reachable:
                continue
            fut = self._node.ask(peer.listed.name, AskState(), _STATE_WAIT_S)
            try:
                answer = fut.result(_STATE_WAIT_S + 1)
            except (UnreachableError, FutureTimeoutError):
                continue
            if isinstance(answer, StateAnswer) and answer.packed:
                if self._context.reader.seed(answer.packed):
                    log.info("Loaded the state of the log from peer {}.", peer.listed.name)
                return

    def _adopt_jobs_of_vacant_zones(self) -> None:
        """Adopt durable jobs of zones that have had no holder for long."""
        capacity = self._context.book.capacity()
        if capacity is None or self._zone_manager.zone_lease() is None:
            return
        vacant = self._vacant_zones([zone.name for zone in capacity.cfg.zones])
        if not vacant:
            return
        with self._context.reader.state() as state:
            jobs = [
                job
                for job in state.jobs.values()
                if job.zone in vacant and job.outcome is None and job.intent is None
            ]
        for job in jobs:
            kind = capacity.cfg.kind(job.request.kind)
            order = zone_order(capacity, job.request, kind) if kind else []
            first = next((zone for zone in order if zone not in vacant), None)
            if first == self._context.zone:
                self._zone_manager.schedule_from_log(job.request.job_id)

    def _vacant_zones(self, zones: list[str]) -> set[str]:
        """Return the zones that have had no holder for long."""
        now = self._context.clock.now()
        vacant = set()
        for zone in zones:
            if zone == self._context.zone or self._view.holder_of(zone) is not None:
                self._vacant_since_s.pop(zone, None)
            elif now - self._vacant_since_s.setdefault(zone, now) > _ADOPT_AFTER_S:
                vacant.add(zone)
        return vacant

    def _update_gauges(self) -> None:
        """Set the gauges to their current values."""
        metrics = self._context.metrics
        metrics.config_version.set({}, self._context.book.version())
        metrics.log_silent_seconds.set({}, self._context.reader.last_response_age_s() or 0.0)
        metrics.peer_bytes.set({}, self._node.traffic_bytes())
        metrics.bad_messages.set({}, self._node.bad_messages)
        metrics.corrupt_records.set({}, self._context.reader.corrupt_records)
        status = self._zone_manager.status()
        if status is not None:
            zone = {"zone": self._context.zone}
            metrics.waiting.set(zone, sum(queue.jobs for queue in status.queues))
            metrics.running.set(zone, status.accelerators - status.free_accelerators)

    def _repeat(self, function, period_s: float) -> None:
        """Call a function periodically until closed."""
        while not self._closed.wait(period_s):
            try:
                function()
            except Exception:
                # A failed round must not end the thread.
                log.exception("A round of periodic work failed.")
