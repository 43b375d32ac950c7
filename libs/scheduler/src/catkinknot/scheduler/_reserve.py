"""Reserve servers for large gangs that would starve behind smaller jobs."""

from collections.abc import Callable
from dataclasses import dataclass, field

from catkinknot.model import JobId
from catkinknot.placement import Fleet

__all__ = ["Reservation", "choose_servers"]

_BOUND_SHAPE_WAIT_S = 60.0
"""Added to the expected wait for a server with a bound guaranteed shape.

The owner of the guarantee may run one job after another there.
"""

RemainingTime = Callable[[str], float]
"""Estimate the remaining run time of an allocation in seconds."""


@dataclass
class Reservation:
    """Servers reserved for a waiting gang until it fits on them.

    Attributes:
        job_id: The job of the waiting gang.
        servers: The reserved servers.
        free_at_s: When all of them are expected to be free.
        backfilled: Names of the allocations placed on them in the meantime.
    """

    job_id: JobId
    servers: frozenset[str]
    free_at_s: float
    backfilled: set[str] = field(default_factory=set)


def choose_servers(
    fleet: Fleet,
    accelerators: int,
    *,
    across_racks: bool,
    remaining: RemainingTime,
    avoid: frozenset[str],
) -> tuple[frozenset[str], float] | None:
    """Choose the adjacent servers that are expected to be free soonest.

    Args:
        fleet: The servers of the zone.
        accelerators: The number of accelerators the gang needs.
        across_racks: Whether the gang may span adjacent racks.
        remaining: Estimate of an allocation's remaining run time.
        avoid: Servers to leave out, such as those reserved for another gang.

    Returns:
        The servers and the seconds until they are free, or None when no group
        of adjacent servers is large enough without those left out or cordoned.
    """
    best = None
    for group in fleet.adjacent_groups(accelerators, across_racks=across_racks):
        chosen = _soonest_free(fleet, group, accelerators, remaining, avoid)
        if chosen is not None and (best is None or chosen[1] < best[1]):
            best = chosen
    return best


def _soonest_free(
    fleet: Fleet,
    group: list[str],
    accelerators: int,
    remaining: RemainingTime,
    avoid: frozenset[str],
) -> tuple[frozenset[str], float] | None:
    """Choose the servers of one group that are expected to be free soonest."""
    waits = []
    for server in group:
        if server in avoid or fleet.is_cordoned(server):
            continue
        wait = max((remaining(name) for name in fleet.owners(server)), default=0.0)
        if fleet.has_bound_shape(server):
            # The guarantee's owner may start further jobs here.
            wait += _BOUND_SHAPE_WAIT_S
        waits.append((wait, server))
    waits.sort()
    servers: list[str] = []
    left = accelerators
    longest = 0.0
    for wait, server in waits:
        if left <= 0:
            break
        servers.append(server)
        left -= fleet.server_spec(server).size
        longest = max(longest, wait)
    if left > 0:
        return None
    return frozenset(servers), longest
