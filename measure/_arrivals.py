"""Generate seeded arrivals like those of the two example deployments."""

import random
from dataclasses import dataclass
from pathlib import Path

from catkinknot.model import (
    Configuration,
    GuaranteedShape,
    JobRequest,
    Kind,
    Workspace,
    Zone,
    check_config,
)

from ._zone import Arrival

__all__ = ["Stream", "deployment", "draw_arrivals", "large_zone"]

_EXAMPLES = Path(__file__).resolve().parent.parent / "examples"


@dataclass(frozen=True)
class Stream:
    """Stream of arrivals of one workspace and kind of work.

    Attributes:
        workspace: The workspace that the jobs are charged to.
        kind: The kind of work.
        mean_interval_s: The mean time between two arrivals.
        sizes: The numbers of accelerators per job, drawn uniformly.
        median_run_s: The median run time in seconds; actual times are spread around it.
        callers: The callers, drawn uniformly.
        since_s: When the stream begins.
        until_s: When the stream ends, 0 for never.
    """

    workspace: str
    kind: str
    mean_interval_s: float
    sizes: tuple[int, ...]
    median_run_s: float
    callers: tuple[str, ...] = ("one", "two", "three")
    since_s: float = 0.0
    until_s: float = 0.0


def draw_arrivals(streams: list[Stream], *, seed: int, until_s: float) -> list[Arrival]:
    """Draw the arrivals of some streams.

    Each stream has its own random generator, so that an added stream changes
    none of the others.

    Args:
        streams: The streams.
        seed: The seed of the random generators.
        until_s: When to stop, in simulated seconds.

    Returns:
        The arrivals by time.
    """
    drawn = []
    for index, stream in enumerate(streams):
        name = f"{seed}/{stream.workspace}/{stream.kind}/{stream.sizes}/{stream.callers}"
        rng = random.Random(name)
        now = stream.since_s
        end = stream.until_s or until_s
        number = 0
        while True:
            now += rng.expovariate(1 / stream.mean_interval_s)
            if now >= end:
                break
            request = JobRequest(
                workspace=stream.workspace,
                kind=stream.kind,
                key=f"s{index}-{number}",
                caller=rng.choice(stream.callers),
                accelerators=rng.choice(stream.sizes),
            )
            number += 1
            # The log-normal spread is a factor of about two in either direction.
            drawn.append(Arrival(now, request, stream.median_run_s * rng.lognormvariate(0, 0.7)))
    return sorted(drawn, key=lambda arrival: arrival.at_s)


def deployment(name: str) -> Configuration:
    """Return an example configuration."""
    return check_config((_EXAMPLES / f"{name}-config.json").read_text())


def large_zone(servers: int = 163) -> Configuration:
    """Return a configuration with one zone of the long-run size."""
    zone = Zone("large", servers, 8, 6)
    scale = max(servers // 40, 1)
    shape = lambda size, count: GuaranteedShape(size, count, "large")  # noqa: E731
    return Configuration(
        deployment="long-run",
        zones=(zone,),
        kinds=(
            Kind("urgent", 9, 600, max_accelerators=8, expected_s=60, floor_share=0.2),
            Kind("train", 3, 30 * 86400, checkpointable=True, idempotent=False, durable=True,
                 max_accelerators=256, across_racks=True, expected_s=3600, floor_share=0.3),
            Kind("batch", 0, 30 * 86400, checkpointable=True, max_accelerators=8,
                 expected_s=600, floor_share=0.1),
        ),
        workspaces=(
            Workspace("alpha", 2, (shape(8, 8 * scale),)),
            Workspace("beta", 4, (shape(48, 2 * scale),)),
            Workspace("gamma", 1, (shape(4, 8 * scale),)),
            Workspace("delta", 1, (shape(2, 8 * scale),)),
        ),
    )  # fmt: skip
