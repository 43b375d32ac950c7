"""Random jobs of a modelled day."""

import math
import random
from dataclasses import dataclass

from catkinknot.jobs import Job, Policy, Resources, Step

from ._experiment import Experiment, Fleet, Kind

__all__ = ["SERVICE", "START_S", "Arrival", "draw_arrivals"]

SERVICE = "pool"

START_S = 1000.0
"""Time on the stepped clock at which a day begins."""

WORKSPACE_RATIO = 1.5
"""Ratio of the jobs of a workspace to those of the next one."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """Job with what only the model knows of it.

    Attributes:
        at_s: When it arrives, on the stepped clock.
        kind: Its kind.
        job: The job, with its declared run time.
        run_s: True run time of each task, in seconds.
        worth: Credit if it ends within its objective.
        late_worth: Credit if it ends within three times its objective.
    """

    at_s: float
    kind: Kind
    job: Job
    run_s: float
    worth: float
    late_worth: float

    @property
    def objective_s(self) -> float:
        """Time within which the job should end, by its true run time."""
        return self.kind.stretch * self.run_s + self.kind.target_s

    def credit(self, ended_s: float | None) -> float:
        """Return the credit for an end at a time, None for no end."""
        if ended_s is None:
            return 0.0
        took_s = ended_s - self.at_s
        if took_s <= self.objective_s:
            return self.worth
        return self.late_worth if took_s <= 3 * self.objective_s else 0.0


def draw_arrivals(experiment: Experiment, seed: int) -> list[Arrival]:
    """Return the jobs of a day, the earliest first."""
    rng = random.Random(seed)
    arrivals = [
        arrival for kind in experiment.kinds for arrival in _draw_kind(experiment, kind, rng)
    ]
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _draw_kind(experiment: Experiment, kind: Kind, rng: random.Random) -> list[Arrival]:
    """Return the jobs of one kind as a Poisson process, thinned from its highest rate."""
    bursts = [burst for burst in experiment.bursts if burst.kind in ("", kind.name)]
    highest = kind.per_s * math.prod(max(1.0, burst.factor) for burst in bursts)
    arrivals = []
    at_s = rng.expovariate(highest)
    while at_s < experiment.length_s:
        active = (b.factor for b in bursts if b.at_s <= at_s < b.at_s + b.for_s)
        if rng.random() < kind.per_s * math.prod(active) / highest:
            arrivals.append(_draw_job(experiment, kind, START_S + at_s, rng))
        at_s += rng.expovariate(highest)
    return arrivals


def _draw_job(experiment: Experiment, kind: Kind, at_s: float, rng: random.Random) -> Arrival:
    """Return one job."""
    count = round(_draw_size(rng, kind.tasks, kind.tasks_spread, kind.max_tasks))
    run_s = _draw_size(rng, kind.run_s, kind.run_spread, kind.max_run_s)
    accelerators = rng.choice(kind.accelerators)
    count = max(1, count)
    gang = rng.random() < kind.gang
    one_rack = gang and rng.random() < kind.one_rack
    step = Step(
        count,
        Resources(kind.cpu_milli, kind.memory_mb, accelerators),
        estimate_ms=int(1000 * run_s * math.exp(rng.gauss(0.0, kind.estimate_error))),
        checkpoints=rng.random() < kind.checkpoints,
        gang=gang,
        one_rack=one_rack and count <= _rack_slots(experiment.fleet, kind, accelerators),
    )
    policy = Policy(
        kind.name,
        SERVICE,
        priority=kind.priority,
        max_attempts=3,
        stretch=kind.stretch,
        target_ms=int(kind.target_s * 1000),
    )
    job_id = f"{rng.getrandbits(64):016x}"
    workspace = _draw_workspace(experiment.workspaces, rng)
    job = Job(job_id, workspace, policy, "", (step,), int(at_s * 1000))
    size = min(4.0, 0.3 + 0.7 * _work(step.count, run_s, accelerators, kind) / _mean_work(kind))
    return Arrival(at_s, kind, job, run_s, kind.worth * size, kind.late_worth * size)


def _rack_slots(fleet: Fleet, kind: Kind, accelerators: int) -> int:
    """Return how many tasks of a kind fit into one empty rack."""
    capacity = Resources(fleet.cores * 1000, fleet.memory_mb, fleet.accelerators)
    need = Resources(kind.cpu_milli, kind.memory_mb, accelerators)
    return fleet.per_rack * need.max_count_in(capacity)


def _draw_size(rng: random.Random, mean: float, spread: float, largest: float) -> float:
    """Return a value of a log-normal distribution with a mean and a cut."""
    return min(largest, rng.lognormvariate(math.log(mean) - spread * spread / 2, spread))


def _draw_workspace(count: int, rng: random.Random) -> str:
    """Return a workspace, the first ones more often."""
    weights = [WORKSPACE_RATIO**-n for n in range(count)]
    return f"w{rng.choices(range(count), weights)[0]}"


def _work(count: float, run_s: float, accelerators: float, kind: Kind) -> float:
    """Return the work of a job in core-seconds; an accelerator counts as eight cores."""
    return count * run_s * (kind.cpu_milli / 1000 + 8 * accelerators)


def _mean_work(kind: Kind) -> float:
    """Return the work of a job of mean size."""
    accelerators = sum(kind.accelerators) / len(kind.accelerators)
    return _work(kind.tasks, kind.run_s, accelerators, kind)
