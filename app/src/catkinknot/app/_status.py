"""Gather what all instances know and judge whether the service is down."""

import time
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import replace

from pydantic.dataclasses import dataclass

from catkinknot.journal import (
    Event,
    EventFilter,
    LaneCounts,
    LaneHealth,
    ServiceWindow,
    evaluate_lane,
    merge_events,
)
from catkinknot.membership import MembershipView
from catkinknot.model.exceptions import UnreachableError
from catkinknot.peers import PeerNode

from ._context import InstanceContext
from ._messages import AskEvents, AskStatus, EventsAnswer, InstanceStatus
from ._periodic import PeriodicWorker
from ._zone_manager import ZoneManager

__all__ = ["ServiceStatus", "StatusService", "Timeline", "ZoneStatus"]

_ASK_S = 1.5
_LOG_SILENT_S = 8.0
"""A log that has not answered for this long counts as out."""


@dataclass(frozen=True)
class ZoneStatus:
    """Say who schedules an availability zone.

    Attributes:
        zone: The zone.
        holder: The instance, empty when nobody who answers does.
        epoch: Its epoch.
        since_s: Seconds since 1970 from when on.
        servers: Servers that answer it.
        accelerators: Accelerators that may be used.
        free_accelerators: Free ones among them.
        unhonoured: Sizes of guaranteed shapes that could not be given now.
        doubtful: Jobs whose outcome is being resolved.
    """

    zone: str
    holder: str
    epoch: str = ""
    since_s: float = 0.0
    servers: int = 0
    accelerators: int = 0
    free_accelerators: int = 0
    unhonoured: tuple[int, ...] = ()
    doubtful: int = 0


@dataclass(frozen=True)
class ServiceStatus:
    """Answer "is it down?" as this instance sees it.

    Attributes:
        asked: The instance that answers.
        at_s: Seconds since 1970 of the answer.
        config_version: The newest configuration known.
        lanes: The answer for each workspace and kind of work.
        zones: Who schedules each zone.
        instances: What each instance says that could be asked.
        unseen: What the answering instance can't see, as sentences.
    """

    asked: str
    at_s: float
    config_version: int
    lanes: tuple[LaneHealth, ...]
    zones: tuple[ZoneStatus, ...]
    instances: tuple[InstanceStatus, ...]
    unseen: tuple[str, ...]


@dataclass(frozen=True)
class Timeline:
    """Hold the merged events of all instances that could be asked.

    Attributes:
        events: The events, oldest first.
        unasked: Instances that did not answer.
    """

    events: tuple[Event, ...]
    unasked: tuple[str, ...]


class StatusService:
    """Answer operators through any instance."""

    def __init__(
        self,
        context: InstanceContext,
        view: MembershipView,
        zone_manager: ZoneManager,
        node: PeerNode,
        window: ServiceWindow,
        duties: PeriodicWorker,
    ) -> None:
        """Prepare.

        Args:
            context: The shared parts.
            view: The other instances.
            zone_manager: This instance's own zone.
            node: The links to other instances.
            window: What callers got lately.
            duties: Knows whether this instance is leaving.
        """
        self._context = context
        self._view = view
        self._zone_manager = zone_manager
        self._node = node
        self._window = window
        self._periodic_worker = duties

    def own_status(self) -> InstanceStatus:
        """Tell what this instance itself knows."""
        zone_lease = self._zone_manager.zone_lease()
        zone = self._zone_manager.status()
        silent_s = self._context.reader.last_response_age_s()
        age_s = self._view.list_age_s()
        status = InstanceStatus(
            instance=self._context.instance,
            zone=self._context.zone,
            state="leaving" if self._periodic_worker.leaving else "live",
            config_version=self._context.book.version(),
            lanes=tuple(self._lanes(zone)),
            log_silent_s=-1.0 if silent_s is None else silent_s,
            list_age_s=-1.0 if age_s is None else age_s,
            unseen=tuple(p.listed.name for p in self._view.entries() if not p.reachable),
            corrupt_records=self._context.reader.corrupt_records,
        )
        if zone_lease is None or zone is None:
            return status
        return replace(
            status,
            holds=str(zone_lease),
            holds_since_s=self._zone_manager.held_since_s(),
            servers=zone.servers,
            accelerators=zone.accelerators,
            free_accelerators=zone.free_accelerators,
            troubled=zone.troubled,
            unhonoured=zone.unhonoured,
            queues=zone.queues,
            doubtful=zone.doubtful,
        )

    def service_status(self) -> ServiceStatus:
        """Ask all instances and judge."""
        answers, silent = self._ask_all(AskStatus())
        found = [item for item in answers.values() if isinstance(item, InstanceStatus)]
        instances = tuple(sorted([self.own_status(), *found], key=lambda item: item.instance))
        current = self._context.book.current()
        config = current.config if current else None
        zones = [zone.name for zone in config.zones] if config else [self._context.zone]
        return ServiceStatus(
            asked=self._context.instance,
            at_s=self._context.clock.wall(),
            config_version=max(item.config_version for item in instances),
            lanes=tuple(self._judge(config, instances)),
            zones=tuple(_zone_status(zone, instances) for zone in zones),
            instances=instances,
            unseen=tuple(self._blind_spots(silent)),
        )

    def merge_timelines(self, wanted: EventFilter) -> Timeline:
        """Merge the events of all instances that answer.

        Args:
            wanted: Which events.

        Returns:
            The events in causal order.
        """
        answers, silent = self._ask_all(AskEvents(wanted))
        rings = [list(a.events) for a in answers.values() if isinstance(a, EventsAnswer)]
        rings.append(self._context.ring.find(wanted))
        return Timeline(tuple(merge_events(rings, limit=wanted.limit)), tuple(silent))

    def _lanes(self, zone) -> list[LaneCounts]:
        """Return what callers got here, and how long work waits in the zone."""
        lanes = {(lane.workspace, lane.kind): lane for lane in self._window.counts()}
        for queue in zone.queues if zone else ():
            name = (queue.workspace, queue.kind)
            lane = lanes.setdefault(name, LaneCounts(queue.workspace, queue.kind, bad={}))
            lane.oldest_wait_s = max(lane.oldest_wait_s, queue.oldest_wait_s)
        return list(lanes.values())

    def _judge(self, config, instances: tuple[InstanceStatus, ...]) -> list[LaneHealth]:
        """Judge every workspace and kind of the configuration."""
        by_lane: dict[tuple[str, str], list[LaneCounts]] = {}
        for instance in instances:
            for lane in instance.lanes:
                by_lane.setdefault((lane.workspace, lane.kind), []).append(lane)
        if config is None:
            return []
        silent = all(not 0 <= item.log_silent_s <= _LOG_SILENT_S for item in instances)
        return [
            evaluate_lane(
                workspace.name,
                kind.name,
                by_lane.get((workspace.name, kind.name), ()),
                deadline_s=kind.deadline_s,
                blocked_by_log=kind.durable and silent,
            )
            for workspace in config.workspaces
            for kind in config.kinds
        ]

    def _ask_all(self, message) -> tuple[dict[str, object], list[str]]:
        """Ask all other instances at once.

        Returns:
            The answers by instance, and who did not answer.
        """
        names = [peer.listed.name for peer in self._view.entries()]
        futs: dict[str, Future] = {name: self._node.ask(name, message, _ASK_S) for name in names}
        until = time.monotonic() + _ASK_S + 0.5
        answers = {}
        silent = []
        for name, fut in futs.items():
            try:
                answers[name] = fut.result(max(until - time.monotonic(), 0.0))
            except (UnreachableError, FutureTimeoutError):
                silent.append(name)
        return answers, silent

    def _blind_spots(self, silent: list[str]) -> list[str]:
        """Say what this instance can't see, and for how long."""
        spots = [f"Instance {name} does not answer this one." for name in silent]
        silent_s = self._context.reader.last_response_age_s()
        if silent_s is None:
            spots.append("The platform's log has never answered this instance.")
        elif silent_s > 10:
            spots.append(f"The platform's log has not answered for {silent_s:.0f} s.")
        age_s = self._view.list_age_s()
        if age_s is None:
            spots.append("The platform's instance list was never read.")
        elif age_s > 10:
            spots.append(f"The platform's instance list is {age_s:.0f} s old.")
        return spots


def _zone_status(zone: str, instances: tuple[InstanceStatus, ...]) -> ZoneStatus:
    """Say who schedules a zone; should two say so, the higher epoch is right."""
    holders = [item for item in instances if item.zone == zone and item.holds]
    if not holders:
        return ZoneStatus(zone, "")
    holder = max(holders, key=lambda item: tuple(map(int, item.holds.split("."))))
    return ZoneStatus(
        zone,
        holder.instance,
        holder.holds,
        holder.holds_since_s,
        holder.servers,
        holder.accelerators,
        holder.free_accelerators,
        holder.unhonoured,
        holder.doubtful,
    )
