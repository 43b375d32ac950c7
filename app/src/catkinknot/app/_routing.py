"""Choose the availability zone that runs a job.

All instances that have the same configuration choose the same zone, so that
a retry through any of them finds the first try. The choice is a weighted
rendezvous hash: a change of one zone's weight moves only the jobs that must
move.
"""

import hashlib
import math

from catkinknot.model import Configuration, JobRequest, Kind
from catkinknot.scheduler import ZoneCapacity

__all__ = ["zone_order"]

_HASH_BYTES = 8


def zone_order(capacity: ZoneCapacity, request: JobRequest, kind: Kind) -> list[str]:
    """List the zones that could run a job, the first choice first.

    Zones that back the workspace's guarantee for a gang of this size come
    first, by how much they back. The others follow by their size.

    Args:
        capacity: What the zones of the configuration in force can hold.
        request: The job.
        kind: Its kind of work.

    Returns:
        Zone names; empty when no zone can hold the gang.
    """
    cfg = capacity.cfg
    size, workspace = request.accelerators, request.workspace
    fitting = [z for z in cfg.zones if capacity.could_place(z.name, workspace, size, kind)]
    guaranteed = {zone.name: _guaranteed_accelerators(cfg, request, zone.name) for zone in fitting}
    key = str(request.job_id)
    scored = []
    for zone in fitting:
        weight = guaranteed[zone.name]
        size = zone.servers * zone.accelerators_per_server
        score = _score(f"{key}@{zone.name}", weight or size)
        scored.append((weight > 0, score, zone.name))
    scored.sort(reverse=True)
    return [name for _, _, name in scored]


def _guaranteed_accelerators(cfg: Configuration, request: JobRequest, zone: str) -> int:
    """Return the accelerators that a zone guarantees for such a gang."""
    workspace = cfg.workspace(request.workspace)
    return sum(
        shape.accelerators * shape.count
        for shape in workspace.guarantee
        if shape.zone == zone and shape.accelerators >= request.accelerators
    )


def _score(text: str, weight: float) -> float:
    """Score a zone for a job; the highest score wins.

    Args:
        text: Names the job and the zone.
        weight: How many jobs the zone should get, against the others.

    Returns:
        The score.
    """
    raw = hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
    fraction = (int.from_bytes(raw, "big") + 1) / (2 ** (8 * _HASH_BYTES) + 1)
    return -weight / math.log(fraction)
