"""Keep room for large gangs that would starve behind small work."""

from collections.abc import Callable
from dataclasses import dataclass, field

from catkinknot.model import JobId
from catkinknot.placement import Fleet

__all__ = ["Reservation", "choose_servers"]

_BOUND_SHAPE_WAIT_S = 60.0
"""Count a server in use under a guarantee as free this much later."""

RemainingTime = Callable[[str], float]
"""Tell how many seconds an allocation will go on, as far as one can know."""


@dataclass
class Reservation:
    """Keep servers free of new work until a waiting gang fits on them.

    Attributes:
        job_id: The waiting gang.
        servers: The servers.
        free_at_s: When they should be free.
        backfilled: Short jobs that were let in meanwhile.
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
    """Choose the neighbouring servers that will be free soonest.

    Args:
        fleet: The zone.
        accelerators: The gang's size.
        across_racks: Whether it may span neighbouring racks.
        remaining: How long an allocation will go on.
        avoid: Servers that are kept for another gang.

    Returns:
        The servers and the seconds until they are free, None when the zone
        cannot hold such a gang.
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
    """Choose the servers of one neighbourhood that will be free soonest."""
    waits = []
    for server in group:
        if server in avoid or fleet.is_cordoned(server):
            continue
        wait = max((remaining(name) for name in fleet.owners(server)), default=0.0)
        if fleet.has_bound_shape(server):
            # Its owner may put one job after the other there.
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
