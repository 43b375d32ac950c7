"""Experiment file of the model: the fleet, the kinds of jobs and the bursts of a day."""

from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from catkinknot.model import ResultCode
from catkinknot.model.exceptions import BadInputError

__all__ = ["Burst", "Experiment", "Fleet", "Kind", "load_experiment"]


class _Strict(BaseModel):
    """Part of an experiment; unknown names are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Fleet(_Strict):
    """Backend servers, all alike.

    Attributes:
        servers: Number of servers.
        per_rack: Servers of one rack.
        cores: Cores of a server.
        memory_mb: Memory of a server, in megabytes.
        accelerators: Accelerators of a server.
        start_delay_s: Time from a placement to the start on its servers.
        stop_s: Time from the decision to stop a run to its end.
        checkpoint_s: Work between two checkpoints.
        restore_s: Time to resume from a checkpoint.
        remote_factor: Ratio of run times where the preferred rack is missed.
    """

    servers: int = Field(ge=1)
    per_rack: int = Field(8, ge=1)
    cores: int = Field(64, ge=1)
    memory_mb: int = Field(262_144, ge=1)
    accelerators: int = Field(8, ge=1)
    start_delay_s: float = Field(0.12, ge=0)
    stop_s: float = Field(0.3, ge=0)
    checkpoint_s: float = Field(2.0, gt=0)
    restore_s: float = Field(0.25, ge=0)
    remote_factor: float = Field(3.0, ge=1)


class Kind(_Strict):
    """Kind of job; sizes and times are drawn from log-normal distributions.

    Attributes:
        name: Name of the kind and of its queue.
        priority: Priority of the queue; 0 is the highest.
        per_s: Jobs a second outside bursts.
        worth: Credit of a job of mean size that ends within its objective.
        late_worth: The same if it ends within three times its objective.
        tasks: Mean number of tasks.
        tasks_spread: Standard deviation of the logarithm of that number.
        max_tasks: Largest number of tasks.
        run_s: Mean run time of a task, in seconds.
        run_spread: Standard deviation of the logarithm of the run time.
        max_run_s: Longest run time, in seconds.
        cpu_milli: Processor time of a task, in thousandths of a core.
        memory_mb: Memory of a task, in megabytes.
        accelerators: Accelerators of a task; one of these is drawn for a job.
        gang: Share of jobs whose tasks form a gang.
        one_rack: Share of gangs that run slower on several racks; gangs that no rack can
            hold do not.
        checkpoints: Share of jobs that save checkpoints.
        fails: Share of runs that fail halfway.
        stretch: Objective as a multiple of the run time.
        target_s: Time added to the objective, in seconds.
        estimate_error: Standard deviation of the logarithm of declared run times.
    """

    name: str
    priority: int = Field(ge=0)
    per_s: float = Field(gt=0)
    worth: float = Field(gt=0)
    late_worth: float = Field(ge=0)
    tasks: float = Field(ge=1)
    tasks_spread: float = Field(0.8, ge=0)
    max_tasks: int = Field(ge=1)
    run_s: float = Field(gt=0)
    run_spread: float = Field(0.3, ge=0)
    max_run_s: float = Field(gt=0)
    cpu_milli: int = Field(ge=0)
    memory_mb: int = Field(ge=0)
    accelerators: tuple[int, ...] = (1,)
    gang: float = Field(0.0, ge=0, le=1)
    one_rack: float = Field(0.0, ge=0, le=1)
    checkpoints: float = Field(0.0, ge=0, le=1)
    fails: float = Field(0.0, ge=0, lt=1)
    stretch: float = Field(gt=0)
    target_s: float = Field(0.0, ge=0)
    estimate_error: float = Field(0.3, ge=0)


class Burst(_Strict):
    """Time in which more jobs arrive.

    Attributes:
        at_s: When it begins.
        for_s: How long it lasts.
        factor: Multiple of the usual rate.
        kind: Name of the kind, empty for all.
    """

    at_s: float = Field(ge=0)
    for_s: float = Field(gt=0)
    factor: float = Field(gt=0)
    kind: str = ""


class Experiment(_Strict):
    """One day to play, for several seeds.

    Attributes:
        name: Name of the experiment.
        length_s: Time in which jobs arrive.
        settle_s: Time after that in which jobs may still end.
        workspaces: Number of workspaces, each half as busy again as the next.
        guaranteed_share: Share of all accelerators that is guaranteed, in equal parts.
        seeds: Number of seeds.
    """

    name: str
    length_s: float = Field(gt=0)
    settle_s: float = Field(20.0, ge=0)
    workspaces: int = Field(8, ge=1)
    guaranteed_share: float = Field(0.6, ge=0, le=1)
    seeds: int = Field(5, ge=1)
    fleet: Fleet
    kinds: tuple[Kind, ...] = Field(min_length=1)
    bursts: tuple[Burst, ...] = ()

    @model_validator(mode="after")
    def _check_names(self) -> "Experiment":
        """Check that kinds differ in name and that bursts name known ones."""
        names = [kind.name for kind in self.kinds]
        if len(set(names)) < len(names):
            raise ValueError("two kinds have the same name")
        unknown = {burst.kind for burst in self.bursts} - {"", *names}
        if unknown:
            raise ValueError(f"bursts name unknown kinds: {sorted(unknown)}")
        return self


def load_experiment(path: Path) -> Experiment:
    """Read an experiment file, or raise `BadInputError` with all faults."""
    try:
        return Experiment.model_validate_json(path.read_bytes())
    except OSError as exc:
        raise BadInputError(ResultCode.BAD_SETTINGS, [f"{path}: {exc}"]) from exc
    except ValidationError as exc:
        faults = [
            f"{'.'.join(map(str, error['loc']))}: {error['msg']}"
            for error in exc.errors(include_url=False)
        ]
        raise BadInputError(ResultCode.BAD_SETTINGS, faults) from exc
