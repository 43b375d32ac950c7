"""Describe the configuration that operators publish."""

from dataclasses import field
from typing import Annotated

from pydantic import Field
from pydantic.dataclasses import dataclass

from ._check import STRICT, check_json
from ._codes import ResultCode
from .exceptions import BadInputError

__all__ = [
    "CallerLimits",
    "Configuration",
    "GuaranteedShape",
    "Kind",
    "Workspace",
    "Zone",
    "check_config",
    "config_faults",
]

MAX_GANG_ACCELERATORS = 256
"""The largest gang, in accelerators."""

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,39}$")]
"""A short name that is safe in a path and in a log line."""

_GangSize = Annotated[int, Field(ge=1, le=MAX_GANG_ACCELERATORS)]
_Seconds = Annotated[float, Field(gt=0, le=30 * 86_400)]


@dataclass(frozen=True, config=STRICT)
class GuaranteedShape:
    """Promise a workspace a number of adjacent accelerators, so many times.

    Attributes:
        accelerators: Adjacent accelerators in one shape.
        count: How many such shapes may be held at once.
        zone: The availability zone whose servers back the promise.
    """

    accelerators: _GangSize
    count: Annotated[int, Field(ge=1, le=4096)]
    zone: Name


@dataclass(frozen=True, config=STRICT)
class Kind:
    """Describe one kind of work.

    Attributes:
        name: The kind's name.
        urgency: 0 waits for anybody, 9 goes before everybody.
        deadline_s: Seconds from submit to the latest useful answer.
        idempotent: Whether a second run does no harm.
        checkpointable: Whether a stopped run can go on where it stopped.
        durable: Whether it must survive the loss of every instance.
        max_accelerators: The largest gang of this kind.
        across_racks: Whether a gang may span neighbouring racks.
        expected_s: The run time to assume before any was measured.
        floor_share: The part of the zone that this kind keeps in a flood.
    """

    name: Name
    urgency: Annotated[int, Field(ge=0, le=9)]
    deadline_s: _Seconds
    idempotent: bool = True
    checkpointable: bool = False
    durable: bool = False
    max_accelerators: _GangSize = 8
    across_racks: bool = False
    expected_s: _Seconds = 60.0
    floor_share: Annotated[float, Field(ge=0, le=1)] = 0.0

    @property
    def preemptible(self) -> bool:
        """Whether a run may be stopped so that others get its place."""
        return self.idempotent or self.checkpointable


@dataclass(frozen=True, config=STRICT)
class CallerLimits:
    """Bound what one caller may have in hand at once.

    Attributes:
        jobs: Unfinished jobs of one caller.
        accelerators: Accelerators that one caller's unfinished jobs ask for.
    """

    jobs: Annotated[int, Field(ge=1, le=100_000)] = 1000
    accelerators: Annotated[int, Field(ge=1, le=1_000_000)] = 10_000


@dataclass(frozen=True, config=STRICT)
class Workspace:
    """Describe one customer's workspace.

    Attributes:
        name: The workspace's name.
        share: Its weight for room that nobody has a guarantee on.
        guarantee: The shapes it can always reclaim.
        limits: What each of its callers may have in hand.
    """

    name: Name
    share: Annotated[float, Field(gt=0, le=1000)] = 1.0
    guarantee: tuple[GuaranteedShape, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)


@dataclass(frozen=True, config=STRICT)
class Zone:
    """Describe the backend servers of one availability zone.

    Attributes:
        name: The zone's name.
        servers: How many backend servers it has.
        accelerators_per_server: Accelerators in each server.
        servers_per_rack: Servers in each rack.
    """

    name: Name
    servers: Annotated[int, Field(ge=1, le=4096)]
    accelerators_per_server: Annotated[int, Field(ge=1, le=64)] = 8
    servers_per_rack: Annotated[int, Field(ge=1, le=64)] = 6


@dataclass(frozen=True, config=STRICT)
class Configuration:
    """Hold everything that operators publish for one deployment.

    Attributes:
        deployment: The deployment's name.
        zones: Its availability zones and their servers.
        kinds: The kinds of work.
        workspaces: The workspaces and their guarantees.
        queue_limit: Jobs that may wait in one zone for one workspace and kind.
    """

    deployment: Name
    zones: Annotated[tuple[Zone, ...], Field(min_length=1, max_length=64)]
    kinds: Annotated[tuple[Kind, ...], Field(min_length=1, max_length=64)]
    workspaces: Annotated[tuple[Workspace, ...], Field(min_length=1, max_length=512)]
    queue_limit: Annotated[int, Field(ge=1, le=100_000)] = 2000

    def kind(self, name: str) -> Kind | None:
        """Find a kind of work by name, or None."""
        return next((kind for kind in self.kinds if kind.name == name), None)

    def workspace(self, name: str) -> Workspace | None:
        """Find a workspace by name, or None."""
        return next((item for item in self.workspaces if item.name == name), None)

    def zone(self, name: str) -> Zone | None:
        """Find an availability zone by name, or None."""
        return next((zone for zone in self.zones if zone.name == name), None)


def check_config(raw: bytes | str) -> Configuration:
    """Check a configuration document, field by field and as a whole.

    Args:
        raw: The JSON text.

    Returns:
        The configuration.

    Raises:
        BadInputError: With every fault found and its path.
    """
    cfg = check_json(Configuration, raw, code=ResultCode.BAD_CONFIG)
    faults = config_faults(cfg)
    if faults:
        raise BadInputError(ResultCode.BAD_CONFIG, faults)
    return cfg


def config_faults(cfg: Configuration) -> list[str]:
    """List what is wrong between the fields of a configuration.

    Args:
        cfg: A configuration whose single fields are right.

    Returns:
        One "path: reason" line for each fault.
    """
    faults = []
    for label, items in (
        ("zones", cfg.zones),
        ("kinds", cfg.kinds),
        ("workspaces", cfg.workspaces),
    ):
        faults += _repeated(label, [item.name for item in items])
    for place, kind in enumerate(cfg.kinds):
        faults += _kind_faults(f"kinds[{place}]", kind)
    floors = sum(kind.floor_share for kind in cfg.kinds)
    if floors > 1:
        faults.append(f"kinds: the floor shares add up to {floors:g}, more than 1")
    for place, workspace in enumerate(cfg.workspaces):
        for index, shape in enumerate(workspace.guarantee):
            if cfg.zone(shape.zone) is None:
                path = f"workspaces[{place}].guarantee[{index}].zone"
                faults.append(f"{path}: no zone is named {shape.zone}")
    return faults


def _repeated(label: str, names: list[str]) -> list[str]:
    """Report names that stand more than once in a list.

    Args:
        label: The list's path.
        names: The names in order.

    Returns:
        A fault for each repeated name.
    """
    return [
        f"{label}[{place}].name: {name} stands more than once"
        for place, name in enumerate(names)
        if name in names[:place]
    ]


def _kind_faults(path: str, kind: Kind) -> list[str]:
    """Report settings of a kind that exclude each other.

    Args:
        path: The kind's path.
        kind: The kind.

    Returns:
        One line for each fault.
    """
    if not kind.idempotent and not kind.durable:
        return [f"{path}.durable: a kind that is not idempotent must be durable"]
    return []
