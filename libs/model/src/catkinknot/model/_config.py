"""Configuration that operators publish."""

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
"""Size of the largest gang, in accelerators."""

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,39}$")]
"""Short name that is safe in a path and in a log line."""

_GangSize = Annotated[int, Field(ge=1, le=MAX_GANG_ACCELERATORS)]
_Seconds = Annotated[float, Field(gt=0, le=30 * 86_400)]


@dataclass(frozen=True, config=STRICT)
class GuaranteedShape:
    """Guarantee of a workspace on a number of blocks of adjacent accelerators.

    Attributes:
        accelerators: Adjacent accelerators in one block.
        count: Blocks that the workspace may use at once.
        zone: Availability zone whose servers back the guarantee.
    """

    accelerators: _GangSize
    count: Annotated[int, Field(ge=1, le=4096)]
    zone: Name


@dataclass(frozen=True, config=STRICT)
class Kind:
    """Kind of job, with its scheduling policy.

    Attributes:
        name: Name of the kind.
        urgency: Priority from 0 (yields to every other kind) to 9 (precedes every other kind).
        deadline_s: Seconds from submission to the latest useful result.
        idempotent: Whether a job may run twice without harm.
        checkpointable: Whether a stopped run can resume where it stopped.
        durable: Whether a job must survive the loss of every instance.
        max_accelerators: Size of the largest gang of this kind.
        across_racks: Whether a gang may span neighbouring racks.
        expected_s: Run time assumed before any was measured.
        floor_share: Share of the zone that is reserved for this kind when other kinds overload it.
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
    """Limits on the unfinished jobs of one caller.

    Attributes:
        jobs: Unfinished jobs of one caller.
        accelerators: Accelerators requested by one caller's unfinished jobs.
    """

    jobs: Annotated[int, Field(ge=1, le=100_000)] = 1000
    accelerators: Annotated[int, Field(ge=1, le=1_000_000)] = 10_000


@dataclass(frozen=True, config=STRICT)
class Workspace:
    """Workspace of one customer.

    Attributes:
        name: Name of the workspace.
        share: Weight of the workspace in the distribution of capacity that no guarantee covers.
        guarantee: Shapes that the workspace can always reclaim.
        limits: Limits of each caller of the workspace.
    """

    name: Name
    share: Annotated[float, Field(gt=0, le=1000)] = 1.0
    guarantee: tuple[GuaranteedShape, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)


@dataclass(frozen=True, config=STRICT)
class Zone:
    """Availability zone and its backend servers.

    Attributes:
        name: Name of the zone.
        servers: Number of backend servers in the zone.
        accelerators_per_server: Accelerators in each server.
        servers_per_rack: Servers in each rack.
    """

    name: Name
    servers: Annotated[int, Field(ge=1, le=4096)]
    accelerators_per_server: Annotated[int, Field(ge=1, le=64)] = 8
    servers_per_rack: Annotated[int, Field(ge=1, le=64)] = 6


@dataclass(frozen=True, config=STRICT)
class Configuration:
    """Configuration of one deployment.

    Attributes:
        deployment: Name of the deployment.
        zones: Availability zones and their servers.
        kinds: Job kinds.
        workspaces: Workspaces and their guarantees.
        queue_limit: Most jobs that may wait in one zone for one workspace and kind.
    """

    deployment: Name
    zones: Annotated[tuple[Zone, ...], Field(min_length=1, max_length=64)]
    kinds: Annotated[tuple[Kind, ...], Field(min_length=1, max_length=64)]
    workspaces: Annotated[tuple[Workspace, ...], Field(min_length=1, max_length=512)]
    queue_limit: Annotated[int, Field(ge=1, le=100_000)] = 2000

    def kind(self, name: str) -> Kind | None:
        """Return the job kind with this name, or None."""
        return next((kind for kind in self.kinds if kind.name == name), None)

    def workspace(self, name: str) -> Workspace | None:
        """Return the workspace with this name, or None."""
        return next((item for item in self.workspaces if item.name == name), None)

    def zone(self, name: str) -> Zone | None:
        """Return the availability zone with this name, or None."""
        return next((zone for zone in self.zones if zone.name == name), None)


def check_config(raw: bytes | str) -> Configuration:
    """Validate a configuration document: each field, and the fields against each other.

    Args:
        raw: The JSON text.

    Returns:
        The configuration.

    Raises:
        BadInputError: With the path and reason of each fault.
    """
    cfg = check_json(Configuration, raw, code=ResultCode.BAD_CONFIG)
    faults = config_faults(cfg)
    if faults:
        raise BadInputError(ResultCode.BAD_CONFIG, faults)
    return cfg


def config_faults(cfg: Configuration) -> list[str]:
    """Return the inconsistencies between the fields of a configuration.

    Args:
        cfg: A configuration whose fields are valid one by one.

    Returns:
        One "path: reason" line for each fault.
    """
    faults = []
    for label, items in (
        ("zones", cfg.zones),
        ("kinds", cfg.kinds),
        ("workspaces", cfg.workspaces),
    ):
        faults += _duplicate_faults(label, [item.name for item in items])
    for position, kind in enumerate(cfg.kinds):
        faults += _kind_faults(f"kinds[{position}]", kind)
    floor_share_sum = sum(kind.floor_share for kind in cfg.kinds)
    if floor_share_sum > 1:
        faults.append(f"kinds: the sum of floor_share is {floor_share_sum:g}, more than 1")
    for position, workspace in enumerate(cfg.workspaces):
        for index, shape in enumerate(workspace.guarantee):
            if cfg.zone(shape.zone) is None:
                path = f"workspaces[{position}].guarantee[{index}].zone"
                faults.append(f"{path}: unknown zone {shape.zone}")
    return faults


def _duplicate_faults(label: str, names: list[str]) -> list[str]:
    """Report duplicate names in a list.

    Args:
        label: Path of the list.
        names: Names in order.

    Returns:
        One "path: reason" line for each duplicate.
    """
    return [
        f"{label}[{position}].name: duplicate name {name}"
        for position, name in enumerate(names)
        if name in names[:position]
    ]


def _kind_faults(path: str, kind: Kind) -> list[str]:
    """Report fields of a job kind that contradict each other.

    Args:
        path: Path of the kind.
        kind: The kind.

    Returns:
        One "path: reason" line for each fault.
    """
    if not kind.idempotent and not kind.durable:
        return [f"{path}.durable: a kind that is not idempotent must be durable"]
    return []
