"""Compare rules that tell faulty servers from faulty jobs."""

import random
from dataclasses import dataclass

from catkinknot.backends import ConsecutiveRule, DecayedRule, ServerHealth, WindowRule

from ._report import Report

__all__ = ["measure_blame"]

SERVER_COUNT = 24
DURATION_S = 600
RUN_DURATION_S = 5.0


@dataclass
class RuleCost:
    """Cost of one rule.

    Attributes:
        wasted_accelerator_s: The accelerator-seconds of failed runs.
        quarantined_s: When the faulty server was first quarantined.
        false_positives: How many good servers were quarantined.
    """

    wasted_accelerator_s: float = 0.0
    quarantined_s: float = float(DURATION_S)
    false_positives: int = 0


def measure_blame(report: Report) -> None:
    """Measure three rules, and no rule, with several kinds of fault.

    Args:
        report: Where to add the measures.
    """
    rules = {"window": WindowRule, "consecutive": ConsecutiveRule, "decayed": DecayedRule}
    for fault, (failure_rate, bad_job_rate) in {
        "one server fails everything": (1.0, 0.0),
        "one server fails a fifth": (0.2, 0.0),
        "one job in ten can never run": (0.0, 0.1),
        "both, hints late": (1.0, 0.1),
    }.items():
        late_reports = "late" in fault
        without_rule = _total(None, failure_rate, bad_job_rate, late_reports)
        for name, rule in rules.items():
            cost = _total(rule, failure_rate, bad_job_rate, late_reports)
            report.add(
                f"{fault}: wasted, {name} rule",
                "acc-s",
                cost.wasted_accelerator_s,
                naive=without_rule.wasted_accelerator_s,
                seed=1,
            )
            if failure_rate:
                report.add(f"{fault}: set aside after, {name} rule", "s", cost.quarantined_s)
            report.add(f"{fault}: good servers set aside, {name} rule", "count",
                       float(cost.false_positives))  # fmt: skip


def _total(rule, failure_rate: float, bad_job_rate: float, late_reports: bool) -> RuleCost:
    """Return the mean cost over several seeds, with the sum of the false positives."""
    total = RuleCost(quarantined_s=0.0)
    seeds = range(5)
    for seed in seeds:
        cost = _run(rule, failure_rate, bad_job_rate, late_reports, seed)
        total.wasted_accelerator_s += cost.wasted_accelerator_s / len(seeds)
        total.quarantined_s += cost.quarantined_s / len(seeds)
        total.false_positives += cost.false_positives
    return total


def _run(rule, failure_rate: float, bad_job_rate: float, late_reports: bool, seed: int) -> RuleCost:
    """Simulate servers that run jobs; server 0 fails a fraction of its jobs."""
    rng = random.Random(seed)
    health = ServerHealth(rule=rule) if rule else None
    cost = RuleCost()
    reports: list[tuple[float, int, bool, str]] = []
    jobs: list[tuple[str, bool, int]] = []
    falsely_quarantined: set[str] = set()
    for step in range(int(DURATION_S / RUN_DURATION_S)):
        now = step * RUN_DURATION_S
        if health is not None:
            health.release_expired(now)
            reports.sort()
            while reports and reports[0][0] <= now:
                _, server, ok, job = reports.pop(0)
                if health.record(f"s{server}", ok, job, now):
                    if server == 0 and failure_rate:
                        cost.quarantined_s = min(cost.quarantined_s, now)
                    else:
                        falsely_quarantined.add(f"s{server}")
        quarantined = health.quarantined() if health else {}
        for server in range(SERVER_COUNT):
            if f"s{server}" in quarantined:
                continue
            job, cannot_run, retry_count = (
                jobs.pop(0) if jobs else (f"j{step}-{server}", rng.random() < bad_job_rate, 0)
            )
            ok = not cannot_run and not (server == 0 and rng.random() < failure_rate)
            reports.append(
                (
                    now + RUN_DURATION_S + (rng.uniform(0, 30) if late_reports else 0),
                    server,
                    ok,
                    job,
                )
            )
            if not ok:
                cost.wasted_accelerator_s += RUN_DURATION_S
                if retry_count < 2:
                    jobs.append((job, cannot_run, retry_count + 1))
    cost.false_positives = len(falsely_quarantined)
    return cost
