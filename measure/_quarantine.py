"""Compare ways to tell bad servers from bad jobs."""

import random
from dataclasses import dataclass

from catkinknot.backends import ConsecutiveRule, DecayedRule, ServerHealth, WindowRule

from ._report import Report

__all__ = ["measure_quarantine"]

SERVERS = 24
SECONDS = 600
RUN_S = 5.0


@dataclass
class Tally:
    """Add up what one rule costs.

    Attributes:
        wasted_s: Accelerator-seconds of failed runs.
        set_aside_s: When the bad server was set aside first.
        false_alarms: Good servers that were set aside.
    """

    wasted_s: float = 0.0
    set_aside_s: float = float(SECONDS)
    false_alarms: int = 0


def measure_quarantine(report: Report) -> None:
    """Run three rules and none over three kinds of trouble.

    Args:
        report: Where to add the measures.
    """
    rules = {"window": WindowRule, "consecutive": ConsecutiveRule, "decayed": DecayedRule}
    for trouble, (part, bad_jobs) in {
        "one server fails everything": (1.0, 0.0),
        "one server fails a fifth": (0.2, 0.0),
        "one job in ten can never run": (0.0, 0.1),
        "both, hints late": (1.0, 0.1),
    }.items():
        late = "late" in trouble
        none = _total(None, part, bad_jobs, late)
        for name, rule in rules.items():
            tally = _total(rule, part, bad_jobs, late)
            report.add(
                f"{trouble}: wasted, {name} rule",
                "acc-s",
                tally.wasted_s,
                naive=none.wasted_s,
                seed=1,
            )
            if part:
                report.add(f"{trouble}: set aside after, {name} rule", "s", tally.set_aside_s)
            report.add(f"{trouble}: good servers set aside, {name} rule", "count",
                       float(tally.false_alarms))  # fmt: skip


def _total(rule, part: float, bad_jobs: float, late: bool) -> Tally:
    """Sum over some seeds."""
    total = Tally(set_aside_s=0.0)
    seeds = range(5)
    for seed in seeds:
        tally = _run(rule, part, bad_jobs, late, seed)
        total.wasted_s += tally.wasted_s / len(seeds)
        total.set_aside_s += tally.set_aside_s / len(seeds)
        total.false_alarms += tally.false_alarms
    return total


def _run(rule, part: float, bad_jobs: float, late: bool, seed: int) -> Tally:
    """Send jobs to servers; server 0 fails a part of them."""
    rng = random.Random(seed)
    health = ServerHealth(rule=rule) if rule else None
    tally = Tally()
    hints: list[tuple[float, int, bool, str]] = []
    jobs: list[tuple[str, bool, int]] = []
    accused: set[str] = set()
    for step in range(int(SECONDS / RUN_S)):
        now = step * RUN_S
        if health is not None:
            health.release_expired(now)
            hints.sort()
            while hints and hints[0][0] <= now:
                _, server, ok, job = hints.pop(0)
                if health.record(f"s{server}", ok, job, now):
                    if server == 0 and part:
                        tally.set_aside_s = min(tally.set_aside_s, now)
                    else:
                        accused.add(f"s{server}")
        quarantined = health.quarantined() if health else {}
        for server in range(SERVERS):
            if f"s{server}" in quarantined:
                continue
            job, bad, tries = (
                jobs.pop(0) if jobs else (f"j{step}-{server}", rng.random() < bad_jobs, 0)
            )
            ok = not bad and not (server == 0 and rng.random() < part)
            hints.append((now + RUN_S + (rng.uniform(0, 30) if late else 0), server, ok, job))
            if not ok:
                tally.wasted_s += RUN_S
                if tries < 2:
                    jobs.append((job, bad, tries + 1))
    tally.false_alarms = len(accused)
    return tally
