"""Collect the status of all instances and evaluate whether the service is up."""

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

_ASK_TIMEOUT_S = 1.5
_LOG_UNAVAILABLE_AFTER_S = 8.0
"""The log counts as unavailable when its last response is older than this."""


@dataclass(frozen=True)
class ZoneStatus:
    """Status of an availability zone and the instance that schedules it.

    Attributes:
        zone: The name of the zone.
        holder: The instance that schedules the zone, empty when none that answers does.
        epoch: The epoch of the holder.
        since_s: When the holder won the zone, in seconds since 1970.
        servers: How many servers answer the holder.
        accelerators: How many accelerators may be used.
        free_accelerators: How many of these accelerators are free.
        unhonoured: Sizes of guaranteed shapes that could not be placed now.
        doubtful: How many jobs have an outcome that is being resolved.
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
    """Status of the whole service, as this instance sees it.

    Attributes:
        asked: The instance that answers.
        at_s: When the status was collected, in seconds since 1970.
        config_version: The newest version of the configuration that is known.
        lanes: The health of each workspace and kind of work.
        zones: The status of each zone.
        instances: The status of each instance that answered.
        unseen: Sentences that name what the answering instance can't see.
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
    """Merged events of all instances that answered.

    Attributes:
        events: The events, oldest first.
        unasked: The names of instances that did not answer.
    """

    events: tuple[Event, ...]
    unasked: tuple[str, ...]


class StatusService:
    """Service that answers status requests with the help of all other instances."""

    def __init__(
        self,
        context: InstanceContext,
        view: MembershipView,
        zone_manager: ZoneManager,
        node: PeerNode,
        window: ServiceWindow,
        periodic_worker: PeriodicWorker,
    ) -> None:
        """Create the service.

        Args:
            context: The context of this instance.
            view: The other instances.
            zone_manager: The manager of this instance's zone.
            node: The links to other instances.
            window: The recent answers to callers.
            periodic_worker: Knows whether this instance is leaving.
        """
        self._context = context
        self._view = view
        self._zone_manager = zone_manager
        self._node = node
        self._window = window
        self._periodic_worker = periodic_worker

    def own_status(self) -> InstanceStatus:
        """Return the status of this instance alone."""
        zone_lease = self._zone_manager.zone_lease()
        zone = self._zone_manager.status()
        log_age_s = self._context.reader.last_response_age_s()
        list_age_s = self._view.list_age_s()
        status = InstanceStatus(
            instance=self._context.instance,
            zone=self._context.zone,
            state="leaving" if self._periodic_worker.leaving else "live",
            config_version=self._context.book.version(),
            lanes=tuple(self._lanes(zone)),
            log_silent_s=-1.0 if log_age_s is None else log_age_s,
            list_age_s=-1.0 if list_age_s is None else list_age_s,
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
        """Ask all instances and return the status of the service."""
        answers, unresponsive = self._ask_all(AskStatus())
        statuses = [item for item in answers.values() if isinstance(item, InstanceStatus)]
        instances = tuple(sorted([self.own_status(), *statuses], key=lambda item: item.instance))
        current = self._context.book.current()
        config = current.config if current else None
        zones = [zone.name for zone in config.zones] if config else [self._context.zone]
        return ServiceStatus(
            asked=self._context.instance,
            at_s=self._context.clock.wall(),
            config_version=max(item.config_version for item in instances),
            lanes=tuple(self._evaluate_lanes(config, instances)),
            zones=tuple(_zone_status(zone, instances) for zone in zones),
            instances=instances,
            unseen=tuple(self._visibility_gaps(unresponsive)),
        )

    def merge_timelines(self, event_filter: EventFilter) -> Timeline:
        """Merge the events of all instances that answer.

        Args:
            event_filter: Which events to return.

        Returns:
            The events in causal order, and the instances that did not answer.
        """
        answers, unresponsive = self._ask_all(AskEvents(event_filter))
        rings = [list(a.events) for a in answers.values() if isinstance(a, EventsAnswer)]
        rings.append(self._context.ring.find(event_filter))
        return Timeline(tuple(merge_events(rings, limit=event_filter.limit)), tuple(unresponsive))

    def _lanes(self, zone) -> list[LaneCounts]:
        """Return the recent answers to local callers, and how long work waits in the zone."""
        lanes = {(lane.workspace, lane.kind): lane for lane in self._window.counts()}
        for queue in zone.queues if zone else ():
            name = (queue.workspace, queue.kind)
            lane = lanes.setdefault(name, LaneCounts(queue.workspace, queue.kind, bad={}))
            lane.oldest_wait_s = max(lane.oldest_wait_s, queue.oldest_wait_s)
        return list(lanes.values())

    def _evaluate_lanes(self, config, instances: tuple[InstanceStatus, ...]) -> list[LaneHealth]:
        """Evaluate every workspace and kind of work of the configuration."""
        by_lane: dict[tuple[str, str], list[LaneCounts]] = {}
        for instance in instances:
            for lane in instance.lanes:
                by_lane.setdefault((lane.workspace, lane.kind), []).append(lane)
        if config is None:
            return []
        log_unavailable = all(
            not 0 <= item.log_silent_s <= _LOG_UNAVAILABLE_AFTER_S for item in instances
        )
        return [
            evaluate_lane(
                workspace.name,
                kind.name,
                by_lane.get((workspace.name, kind.name), ()),
                deadline_s=kind.deadline_s,
                blocked_by_log=kind.durable and log_unavailable,
            )
            for workspace in config.workspaces
            for kind in config.kinds
        ]

    def _ask_all(self, message) -> tuple[dict[str, object], list[str]]:
        """Ask all other instances at once.

        Returns:
            The answers by instance, and the instances that did not answer.
        """
        names = [peer.listed.name for peer in self._view.entries()]
        futs: dict[str, Future] = {
            name: self._node.ask(name, message, _ASK_TIMEOUT_S) for name in names
        }
        until_s = time.monotonic() + _ASK_TIMEOUT_S + 0.5
        answers = {}
        unresponsive = []
        for name, fut in futs.items():
            try:
                answers[name] = fut.result(max(until_s - time.monotonic(), 0.0))
            except (UnreachableError, FutureTimeoutError):
                unresponsive.append(name)
        return answers, unresponsive

    def _visibility_gaps(self, unresponsive: list[str]) -> list[str]:
        """Return sentences that name what this instance can't see, and for how long."""
        gaps = [f"Instance {name} does not answer this one." for name in unresponsive]
        log_age_s = self._context.reader.last_response_age_s()
        if log_age_s is None:
            gaps.append("The platform's log has never answered this instance.")
        elif log_age_s > 10:
            gaps.append(f"The platform's log has not answered for {log_age_s:.0f} s.")
        list_age_s = self._view.list_age_s()
        if list_age_s is None:
            gaps.append("The platform's instance list has never been read.")
        elif list_age_s > 10:
            gaps.append(f"The platform's instance list is {list_age_s:.0f} s old.")
        return gaps


def _zone_status(zone: str, instances: tuple[InstanceStatus, ...]) -> ZoneStatus:
    """Return the status of a zone; if two instances claim to hold it, the higher epoch wins."""
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
