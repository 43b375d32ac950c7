"""What became of the jobs of a modelled day, and the comparison of two builds."""

import math
import statistics
from dataclasses import asdict, dataclass

from ._arrivals import Arrival
from ._fleet import ModelFleet

__all__ = ["DayResult", "KindResult", "compare", "summarize"]

NORMAL_95 = 1.96
"""Half width of a 95 % interval, in standard errors."""


@dataclass(frozen=True, slots=True)
class KindResult:
    """Jobs of one kind.

    Attributes:
        jobs: Number of jobs.
        in_time: Jobs that ended within their objective.
        late: Jobs that ended within three times their objective.
        share: Credit earned, relative to the credit owed.
        large_share: The same for the largest tenth of the jobs.
        p50_start_s: Median time from arrival to the first start.
        p95_start_s: The 95th percentile of that time.
    """

    jobs: int
    in_time: int
    late: int
    share: float
    large_share: float
    p50_start_s: float
    p95_start_s: float


@dataclass(frozen=True, slots=True)
class DayResult:
    """One modelled day.

    Attributes:
        seed: Seed of the day.
        share: Credit earned by all jobs, relative to the credit owed.
        wasted_core_s: Work that was lost, in core-seconds.
        started: Runs that were started.
        stopped: Runs that were stopped.
        round_ms: Median duration of a planning round, in milliseconds.
        longest_round_ms: Longest duration of a planning round, in milliseconds.
        kinds: Results by kind.
    """

    seed: int
    share: float
    wasted_core_s: float
    started: int
    stopped: int
    round_ms: float
    longest_round_ms: float
    kinds: dict[str, KindResult]

    @classmethod
    def of(
        cls,
        seed: int,
        arrivals: list[Arrival],
        ended_s: dict[str, float],
        fleet: ModelFleet,
        rounds_s: list[float],
    ) -> "DayResult":
        """Return the result of a day."""
        by_kind: dict[str, list[Arrival]] = {}
        for arrival in arrivals:
            by_kind.setdefault(arrival.kind.name, []).append(arrival)
        return cls(
            seed=seed,
            share=_share(arrivals, ended_s),
            wasted_core_s=fleet.wasted_core_s,
            started=fleet.started,
            stopped=fleet.stopped,
            round_ms=1000 * statistics.median(rounds_s),
            longest_round_ms=1000 * max(rounds_s),
            kinds={
                name: _kind_result(found, ended_s, fleet.first_start_s)
                for name, found in by_kind.items()
            },
        )

    def to_json(self) -> dict:
        """Return the result as a JSON object."""
        return asdict(self)


def _share(arrivals: list[Arrival], ended_s: dict[str, float]) -> float:
    """Return the credit earned relative to the credit owed."""
    owed = sum(arrival.worth for arrival in arrivals)
    earned = sum(arrival.credit(ended_s.get(arrival.job.id)) for arrival in arrivals)
    return earned / owed if owed else 1.0


def _kind_result(
    arrivals: list[Arrival], ended_s: dict[str, float], first_start_s: dict[str, float]
) -> KindResult:
    """Return the result of the jobs of one kind."""
    ends = [(arrival, ended_s.get(arrival.job.id, math.inf)) for arrival in arrivals]
    took = [(arrival, end_s - arrival.at_s) for arrival, end_s in ends]
    in_time = sum(t <= arrival.objective_s for arrival, t in took)
    served = sum(t <= 3 * arrival.objective_s for arrival, t in took)
    largest = sorted(arrivals, key=lambda arrival: -arrival.worth)[: max(1, len(arrivals) // 10)]
    starts = sorted(first_start_s.get(a.job.id, math.inf) - a.at_s for a in arrivals)
    return KindResult(
        jobs=len(arrivals),
        in_time=in_time,
        late=served - in_time,
        share=_share(arrivals, ended_s),
        large_share=_share(largest, ended_s),
        p50_start_s=starts[len(starts) // 2],
        p95_start_s=starts[int(len(starts) * 0.95)],
    )


def summarize(results: list[dict]) -> list[tuple[str, float, float]]:
    """Return name, mean and half width of the 95 % interval of each figure over all seeds."""
    return [(name, *_mean(values)) for name, values in _figures(results).items()]


def compare(before: list[dict], after: list[dict]) -> list[tuple[str, float, float, float]]:
    """Return name, mean before, mean difference and its half width for equal seeds."""
    by_seed = {result["seed"]: result for result in before}
    pairs = [(by_seed[r["seed"]], r) for r in after if r["seed"] in by_seed]
    old, new = _figures([a for a, _ in pairs]), _figures([b for _, b in pairs])
    rows = []
    for name in old:
        differences = [b - a for a, b in zip(old[name], new[name], strict=True)]
        rows.append((name, _mean(old[name])[0], *_mean(differences)))
    return rows


def _figures(results: list[dict]) -> dict[str, list[float]]:
    """Return the figures of all days by name."""
    found: dict[str, list[float]] = {}
    for result in results:
        for name in ("share", "wasted_core_s", "started", "stopped", "round_ms"):
            found.setdefault(name, []).append(result[name])
        for kind, figures in result["kinds"].items():
            for name in ("share", "large_share", "in_time", "late", "jobs"):
                found.setdefault(f"{kind} {name}", []).append(figures[name])
            for name in ("p50_start_s", "p95_start_s"):
                found.setdefault(f"{kind} {name}", []).append(min(figures[name], 99.0))
    return found


def _mean(values: list[float]) -> tuple[float, float]:
    """Return the mean and the half width of its 95 % interval."""
    mean = statistics.fmean(values)
    if len(values) < 2:
        return mean, 0.0
    return mean, NORMAL_95 * statistics.stdev(values) / math.sqrt(len(values))
