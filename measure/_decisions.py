"""Measure the planner in simulations: floods, guarantees and fragmentation."""

from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from catkinknot.model import Configuration

from ._arrivals import Stream, deployment, draw_arrivals, large_zone
from ._report import Report
from ._zone import CHECKPOINT_DURATION_S, FirstComePlanner, JobRecord, ZoneRun, run_zone

__all__ = ["measure_decisions"]

SEED = 1
_URGENT_TARGET_S = 2.1
_FLOOD_INTERVAL_S = (150.0, 450.0)


@dataclass(frozen=True)
class Scenario:
    """Zone of a deployment and the arrivals there.

    Attributes:
        name: The name of the deployment.
        zone: The zone.
        until_s: The duration of the simulation in seconds.
        base: The streams that arrive in every simulation.
        urgent_work: The workspace and kind of urgent work that stays within its
            guarantee.
        large_gang_kind: The kind of work whose large gangs are measured.
        floods: Additional streams by the name of the flood.
    """

    name: str
    zone: str
    until_s: float
    base: tuple[Stream, ...]
    urgent_work: tuple[str, str]
    large_gang_kind: str
    floods: dict[str, tuple[Stream, ...]]

    def config(self) -> Configuration:
        """Return the configuration of the deployment."""
        return large_zone() if self.name == "long-run" else deployment(self.name)


def _flood(
    workspace: str, kind: str, mean_interval_s: float, sizes: tuple[int, ...], median_run_s: float
):
    """Return the streams of a flood in the middle of a simulation."""
    since_s, until_s = _FLOOD_INTERVAL_S
    return (
        Stream(
            workspace, kind, mean_interval_s, sizes, median_run_s, ("f1", "f2"), since_s, until_s
        ),
    )


HOLMGAARD = Scenario(
    "holmgaard",
    "vejle-hal",
    600.0,
    (
        Stream("sales", "proof", 1.0, (1, 1, 2, 4), 1.5),
        Stream("plates", "plate", 60, (8, 16, 32), 45),
        Stream("municipal", "colour-check", 6, (1, 2, 4), 20),
        Stream("colour", "colour-check", 5, (1, 2, 4, 8), 15),
        Stream("municipal", "proof", 5.0, (1, 2), 1.5),
    ),
    ("municipal", "proof"),
    "plate",
    {
        "flood of the least urgent": _flood("colour", "colour-check", 0.3, (1, 2, 4, 8), 15),
        "flood of the most urgent": _flood("sales", "proof", 0.05, (1, 2, 4), 1.5),
        "three times the fleet": _flood("sales", "proof", 0.1, (1, 2, 4), 1.5)
        + _flood("colour", "colour-check", 0.5, (1, 2, 4, 8), 15),
    },
)

VLTAVA = Scenario(
    "vltava",
    "melnik",
    900.0,
    (
        Stream("crews", "scan", 8, (1, 2), 15),
        Stream("authority", "reconstruction", 60, (4, 8, 16), 60),
        Stream("records", "recompile", 120, (8, 16, 32), 90),
        Stream("survey-office", "scan", 12, (1, 2, 4), 20),
        Stream("survey-office", "reconstruction", 90, (1, 2), 20),
    ),
    ("survey-office", "reconstruction"),
    "recompile",
    {
        "flood of the least urgent": _flood("records", "recompile", 4, (4, 8), 60),
        "flood of the most urgent": _flood("authority", "reconstruction", 1.0, (4, 8, 16), 60),
        "three times the fleet": _flood("authority", "reconstruction", 2.0, (4, 8, 16), 60)
        + _flood("survey-office", "scan", 0.5, (1, 2, 4), 20),
    },
)

LONG_RUN = Scenario(
    "long-run",
    "large",
    300.0,
    (
        Stream("alpha", "urgent", 0.5, (1, 2, 4, 8), 30),
        Stream("beta", "train", 15, (16, 48, 128, 256), 120),
        Stream("gamma", "batch", 0.4, (1, 2, 4), 60),
        Stream("delta", "batch", 0.5, (1, 2, 8), 60),
        Stream("delta", "urgent", 4, (1, 2), 20),
    ),
    ("delta", "urgent"),
    "train",
    {"flood of the least urgent": _flood("gamma", "batch", 0.15, (1, 2, 4, 8), 60)},
)


def measure_decisions(report: Report) -> None:
    """Simulate every scenario with and without floods, with the real and the baseline planner.

    Args:
        report: Where to add the measures.
    """
    scenarios = (HOLMGAARD, VLTAVA, LONG_RUN)
    tasks = [
        (scenario, flood, naive)
        for scenario in scenarios
        for flood in ("calm", *scenario.floods)
        for naive in (False, True)
    ]
    with ProcessPoolExecutor() as pool:
        runs = dict(zip([(s.name, f, n) for s, f, n in tasks], pool.map(_run, tasks), strict=True))
    for scenario in scenarios:
        for flood in ("calm", *scenario.floods):
            _report_scenario(report, scenario, flood, runs)
    _report_small_callers(report)
    _report_reclaim(report)


def _run(task: tuple[Scenario, str, bool]) -> ZoneRun:
    """Run one simulation."""
    scenario, flood, naive = task
    cfg = scenario.config()
    streams = [*scenario.base, *scenario.floods.get(flood, ())]
    job_arrivals = draw_arrivals(streams, seed=SEED, until_s=scenario.until_s)
    planner = FirstComePlanner(cfg, scenario.zone) if naive else None
    return run_zone(cfg, scenario.zone, job_arrivals, scenario.until_s, planner=planner)


def _report_scenario(report: Report, scenario: Scenario, flood: str, runs: dict) -> None:
    """Add the measures of one scenario and flood."""
    ours, naive = runs[scenario.name, flood, False], runs[scenario.name, flood, True]
    label = f"{scenario.name}, {flood}"

    def is_urgent(job: JobRecord) -> bool:
        """Return whether a job is urgent work within its guarantee."""
        request = job.arrival.request
        return (request.workspace, request.kind) == scenario.urgent_work

    for fraction in (0.5, 0.99):
        measured = _quantile(_waits(ours.select(is_urgent), scenario.until_s), fraction)
        report.add(
            f"{label}: urgent start, p{fraction * 100:.0f}",
            "s",
            measured,
            naive=_quantile(_waits(naive.select(is_urgent), scenario.until_s), fraction),
            target=f"<= {_URGENT_TARGET_S} s" if fraction > 0.9 else "",
            met=measured <= _URGENT_TARGET_S if fraction > 0.9 else None,
            seed=SEED,
        )
    measured = ours.fragmented_accelerator_s / ours.total_accelerator_s
    baseline = naive.fragmented_accelerator_s / naive.total_accelerator_s
    report.add(
        f"{label}: free while fitting work waited",
        "part",
        measured,
        naive=baseline,
        target="<= half of first fit",
        met=measured <= baseline / 2,
        seed=SEED,
    )
    _report_large(report, label, scenario, ours, naive)
    if flood != "calm":
        _report_least_share(report, label, scenario, flood, runs)


def _report_large(
    report: Report, label: str, scenario: Scenario, ours: ZoneRun, naive: ZoneRun
) -> None:
    """Add the mean wait of large gangs."""

    def is_large_gang(job: JobRecord) -> bool:
        """Return whether a job is a large gang."""
        request = job.arrival.request
        return request.kind == scenario.large_gang_kind and request.accelerators >= 16

    measured = _mean(_waits(ours.select(is_large_gang), scenario.until_s))
    baseline = _mean(_waits(naive.select(is_large_gang), scenario.until_s))
    report.add(
        f"{label}: mean wait of gangs of 16 and more",
        "s",
        measured,
        naive=baseline,
        target="<= a third",
        met=measured <= baseline / 3,
        seed=SEED,
    )


def _report_least_share(
    report: Report, label: str, scenario: Scenario, flood: str, runs: dict
) -> None:
    """Add the least share of its work that a workspace outside the flood keeps."""
    flooding = {stream.workspace for stream in scenario.floods[flood]}
    others = {stream.workspace for stream in scenario.base} - flooding

    cfg = scenario.config()

    def least_share(naive: bool) -> float:
        """Return the least share that a workspace keeps of the work its guarantee covers."""
        shares = []
        for workspace in others:
            calm = _finished_work(runs[scenario.name, "calm", naive], workspace)
            covered = min(calm, _guaranteed(cfg, scenario.zone, workspace) * scenario.until_s)
            shares.append(
                _finished_work(runs[scenario.name, flood, naive], workspace) / max(covered, 1e-9)
            )
        return min(shares)

    measured = least_share(False)
    report.add(
        f"{label}: least work another workspace keeps",
        "part",
        measured,
        naive=least_share(True),
        target=">= 0.95",
        met=measured >= 0.95,
        seed=SEED,
    )


def _report_small_callers(report: Report) -> None:
    """Measure a small caller with and without concurrent large callers."""
    cfg = deployment("vltava")
    small = Stream("survey-office", "scan", 6, (1,), 10, ("small",))
    large = [
        Stream("survey-office", "scan", 0.6, (4,), 20, ("large-1", "large-2")),
        Stream("authority", "reconstruction", 20, (16,), 60),
    ]

    def completion_p99_s(naive: bool, streams: list[Stream]) -> float:
        """Return the 99th percentile of the small caller's times to completion."""
        job_arrivals = draw_arrivals(streams, seed=SEED, until_s=600.0)
        planner = FirstComePlanner(cfg, "melnik") if naive else None
        run = run_zone(cfg, "melnik", job_arrivals, 600.0, planner=planner)
        jobs = run.select(lambda job: job.arrival.request.caller == "small")
        return _quantile([job.took_s or 600.0 for job in jobs], 0.99)

    measured = completion_p99_s(False, [small, *large]) / completion_p99_s(False, [small])
    report.add(
        "small caller beside large ones: completion p99 against alone",
        "times",
        measured,
        naive=completion_p99_s(True, [small, *large]) / completion_p99_s(True, [small]),
        target="<= 1.5 times",
        met=measured <= 1.5,
        seed=SEED,
    )


def _report_reclaim(report: Report) -> None:
    """Measure the wait for a guaranteed shape while all accelerators are borrowed."""
    cfg = deployment("holmgaard")
    worst = 0.0
    for workspace in cfg.workspaces:
        for shape in workspace.guarantee:
            if shape.zone != "vejle-hal":
                continue
            # The borrower must be another workspace: one that fills its own guarantee has
            # nothing to reclaim.
            borrower = "municipal" if workspace.name == "colour" else "colour"
            borrowers = Stream(borrower, "colour-check", 0.5, (1, 2, 4, 8), 400, until_s=30.0)
            kind = "plate" if shape.accelerators > 4 else "colour-check"
            owner = Stream(workspace.name, kind, 40.0, (shape.accelerators,), 20, since_s=60.0)
            job_arrivals = draw_arrivals([borrowers, owner], seed=SEED, until_s=400.0)
            owner_arrivals = [arrival for arrival in job_arrivals if arrival.at_s >= owner.since_s]
            first = owner_arrivals[0]
            used_arrivals = [
                arrival for arrival in job_arrivals if arrival not in owner_arrivals[1:]
            ]
            run = run_zone(cfg, "vejle-hal", used_arrivals, 500.0)
            worst = max(worst, run.jobs[first.request.job_id].wait_s or 500.0)
    limit_s = CHECKPOINT_DURATION_S + _URGENT_TARGET_S
    report.add(
        "reclaim of a guaranteed shape, everything borrowed, worst",
        "s",
        worst,
        target=f"<= {limit_s:.1f} s",
        met=worst <= limit_s,
        seed=SEED,
    )


def _guaranteed(cfg: Configuration, zone: str, workspace: str) -> int:
    """Return the accelerators that a workspace is guaranteed in a zone."""
    shapes = cfg.workspace(workspace).guarantee
    return sum(shape.accelerators * shape.count for shape in shapes if shape.zone == zone)


def _waits(jobs: list[JobRecord], until_s: float) -> list[float]:
    """Return the waits; a job that never started waited until the end of the simulation."""
    return [
        until_s - job.arrival.at_s if job.wait_s is None else job.wait_s
        for job in jobs
        if not job.refused
    ]


def _finished_work(run: ZoneRun, workspace: str) -> float:
    """Return the accelerator-seconds of the finished jobs of a workspace."""
    jobs = run.select(lambda job: job.arrival.request.workspace == workspace)
    return sum(
        job.arrival.run_s * job.arrival.request.accelerators
        for job in jobs
        if job.ended_s is not None
    )


def _quantile(values: list[float], fraction: float) -> float:
    """Return a quantile, 0 for no values."""
    ordered = sorted(values)
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)] if ordered else 0.0


def _mean(values: list[float]) -> float:
    """Return the mean, 0 for no values."""
    return sum(values) / len(values) if values else 0.0
