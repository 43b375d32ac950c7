"""Make up seeded arrivals like those of the two deployments."""

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

__all__ = ["Stream", "arrivals", "deployment", "large_zone"]

_EXAMPLES = Path(__file__).resolve().parent.parent / "examples"


@dataclass(frozen=True)
class Stream:
    """Describe jobs of one workspace and kind that keep arriving.

    Attributes:
        workspace: Who pays.
        kind: The kind of work.
        every_s: Mean seconds between two.
        sizes: Accelerators, chosen evenly.
        run_s: Mean run time in seconds; true times are spread around it.
        callers: Callers, chosen evenly.
        since_s: When the stream begins.
        until_s: When it ends, 0 for never.
    """

    workspace: str
    kind: str
    every_s: float
    sizes: tuple[int, ...]
    run_s: float
    callers: tuple[str, ...] = ("one", "two", "three")
    since_s: float = 0.0
    until_s: float = 0.0


def arrivals(streams: list[Stream], *, seed: int, until_s: float) -> list[Arrival]:
    """Draw the arrivals of some streams.

    Each stream has its own source of chance, so that adding one changes none
    of the others.

    Args:
        streams: The streams.
        seed: Where chance comes from.
        until_s: When to stop.

    Returns:
        The arrivals by time.
    """
    found = []
    for place, stream in enumerate(streams):
        name = f"{seed}/{stream.workspace}/{stream.kind}/{stream.sizes}/{stream.callers}"
        rng = random.Random(name)
        now = stream.since_s
        end = stream.until_s or until_s
        number = 0
        while True:
            now += rng.expovariate(1 / stream.every_s)
            if now >= end:
                break
            request = JobRequest(
                workspace=stream.workspace,
                kind=stream.kind,
                key=f"s{place}-{number}",
                caller=rng.choice(stream.callers),
                accelerators=rng.choice(stream.sizes),
            )
            number += 1
            # A log-normal spread by a factor of about two either way.
            found.append(Arrival(now, request, stream.run_s * rng.lognormvariate(0, 0.7)))
    return sorted(found, key=lambda arrival: arrival.at_s)


def deployment(name: str) -> Configuration:
    """Read an example configuration."""
    return check_config((_EXAMPLES / f"{name}-config.json").read_text())


def large_zone(servers: int = 163) -> Configuration:
    """Describe one zone at the long-run size."""
    zone = Zone("large", servers, 8, 6)
    scale = max(servers // 40, 1)
    shapes = lambda size, count: GuaranteedShape(size, count, "large")  # noqa: E731
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
            Workspace("alpha", 2, (shapes(8, 8 * scale),)),
            Workspace("beta", 4, (shapes(48, 2 * scale),)),
            Workspace("gamma", 1, (shapes(4, 8 * scale),)),
            Workspace("delta", 1, (shapes(2, 8 * scale),)),
        ),
    )  # fmt: skip
