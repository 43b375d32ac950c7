"""Choose the availability zone of a job by weighted rendezvous hashing.

All instances with the same configuration choose the same zone, so that a
retry through any of them reaches the scheduler that has the job already. A
change of one zone's weight moves only jobs to or from that zone.
"""

import hashlib
import math

from catkinknot.model import Configuration, JobRequest, Kind
from catkinknot.scheduler import ZoneCapacity

__all__ = ["zone_order"]

_HASH_BYTES = 8


def zone_order(capacity: ZoneCapacity, request: JobRequest, kind: Kind) -> list[str]:
    """List the zones that could run a job, in order of preference.

    Zones that guarantee the workspace a gang of this size come first,
    weighted by the accelerators they guarantee. The others follow, weighted
    by their size.

    Args:
        capacity: The capacity of the zones in the current configuration.
        request: The job.
        kind: The kind of the job.

    Returns:
        Zone names, empty if no zone can hold the gang.
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
    """Return the accelerators that a zone guarantees for gangs at least this large."""
    workspace = cfg.workspace(request.workspace)
    return sum(
        shape.accelerators * shape.count
        for shape in workspace.guarantee
        if shape.zone == zone and shape.accelerators >= request.accelerators
    )


def _score(text: str, weight: float) -> float:
    """Return the score of a zone for a job; the highest score wins.

    Args:
        text: The key of the job and the name of the zone.
        weight: The share of jobs that the zone gets, relative to other zones.

    Returns:
        The score.
    """
    raw = hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
    fraction = (int.from_bytes(raw, "big") + 1) / (2 ** (8 * _HASH_BYTES) + 1)
    return -weight / math.log(fraction)
