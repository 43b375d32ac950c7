"""Update which servers may get new work, and what stopping their runs costs."""

from collections.abc import Iterable

from catkinknot.packing import Occupant

from ._views import RunView, ServerView
from ._zones import SuspectZones

__all__ = ["ACCELERATOR_CORES", "CapacityUpdater"]

ACCELERATOR_CORES = 8
"""Number of cores that one accelerator counts as in sums of work."""

RESUME_COST_S = 0.5
"""Time of its server that a run loses if it saves a checkpoint when stopped, and resumes."""

MAX_UNACKNOWLEDGED_END_COUNT = 400
"""Unacknowledged ends above which a server gets no new work; one answer lists 500 at most."""


class CapacityUpdater:
    """Updates the capacity of all servers before each planning round."""

    def __init__(self) -> None:
        """Suspect no availability zone."""
        self._zones = SuspectZones()

    def update(self, servers: Iterable[ServerView], now_s: float) -> None:
        """Update the capacity of servers.

        Args:
            servers: All servers.
            now_s: Current time.
        """
        views = list(servers)
        suspect_zones = self._zones.update(views)
        for view in views:
            usable = _is_usable(view, suspect_zones, now_s)
            quarantined = now_s < view.quarantined_until_s
            view.room.schedulable = usable and not quarantined
            view.room.quarantined = usable and quarantined
            for task, occupant in view.room.occupants.items():
                _update_occupant(occupant, view.runs[task], now_s)


def _is_usable(view: ServerView, suspect_zones: set[str], now_s: float) -> bool:
    """Return whether a server may get new work, unless it is quarantined."""
    listing = view.listing
    return bool(
        view.listed
        and listing is not None
        and not listing.draining
        and listing.zone not in suspect_zones
        and view.clock is not None
        and view.unresponsive_since_s is None
        and not view.lease_expired
        and now_s >= view.unhealthy_until_s
        and view.read_end - view.seen_end <= MAX_UNACKNOWLEDGED_END_COUNT
    )


def _update_occupant(occupant: Occupant, run: RunView, now_s: float) -> None:
    """Update the work that is lost if a run is stopped, and whether it can be."""
    cores = occupant.need.cpu_milli / 1000 + occupant.need.accelerators * ACCELERATOR_CORES
    lost_s = now_s - run.assigned_s
    if occupant.resumable:
        lost_s = min(lost_s, RESUME_COST_S)
    occupant.unsaved_core_s = cores * max(0.0, lost_s)
    if run.stopping:
        occupant.pinned = True
