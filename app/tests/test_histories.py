"""Check the invariants of zone sessions over many random histories with faults."""

import unittest
from concurrent.futures import ProcessPoolExecutor

from loguru import logger
from stepped import CONFIG, Environment

from catkinknot.model import ResultCode

HISTORY_COUNT = 2000
STEP_COUNT = 150
FIRST_SEED = 1
CHUNK_SIZE = 50

REGRESSION_SEEDS = {
    24: "an attempt stopped without a checkpoint was started again",
    21: "an outcome without its attempt was refused by the log",
    147: "the loss of a task on a server replaced within a second went unnoticed",
    282: "a queued scan was reported as not run while another holder started it",
    4586: "the accelerators of a lost member stayed allocated",
    6509: "the accelerators of an old task stayed allocated on a replaced server",
    7384: "a claim made to resolve a start hid that a server was replaced",
    7839: "an old task was removed before its start was read from the log",
    10689: "a running job whose server was lost was never concluded",
    11351: "an unresolved entry for a start that was not made hid the actual start",
    21973: "a job stopped at a checkpoint and cancelled was reported as not run",
    8779: "the end of a task was acknowledged on a stale state of the log",
}
"""Seeds of histories that once broke an invariant, with the fault each one found."""


def violations(env: Environment) -> list[str]:
    """List the invariants that do not hold at this step."""
    found = []
    for name, request in env.jobs.items():
        kind = CONFIG.kind(request.kind)
        starts = env.starts(name)
        if not kind.idempotent and len(starts) != len(set(starts)):
            found.append(f"{name}: an attempt was started twice: {starts}")
        if not kind.idempotent and not kind.checkpointable and len(starts) > 1:
            found.append(f"{name}: started {len(starts)} times")
    found += partial_gangs(env)
    return found


def partial_gangs(env: Environment) -> list[str]:
    """List confirmed gangs of which a member never started."""
    found = []
    known = {
        (server, task.report.job, task.report.attempt): task
        for server, emulator in env.servers.items()
        for task in emulator._tasks.values()
    }
    for (server, job, attempt), task in known.items():
        if env.rebooted or not (task.active and task.report.confirmed):
            continue
        found += [
            f"{job}#{attempt}: {server} runs on without {other}"
            for other in task.report.servers
            if (other, job, attempt) not in known
        ]
    return found


def final_violations(env: Environment) -> list[str]:
    """List the invariants that do not hold after all faults have ended."""
    state = env.settle()
    found = violations(env)
    for name, job in state.jobs.items():
        starts = env.starts(name)
        if job.outcome is None:
            found.append(f"{name}: never ended")
            continue
        code = job.outcome.code
        if code is ResultCode.CANCELLED and starts:
            found.append(f"{name}: reported as not run, but started {starts}")
        if code is ResultCode.DONE and not job.outcome.result.intact:
            found.append(f"{name}: its result is damaged")
        if code is ResultCode.DONE and not starts:
            found.append(f"{name}: done without a start")
    env.clock.advance(200.0)
    for server, emulator in env.servers.items():
        if emulator.active_masks() and not any(process.session for process in env.processes):
            found.append(f"{server}: still busy after everything ended")
    return found


def run_history(seed: int, steps: int = STEP_COUNT) -> tuple[list[str], int]:
    """Run one history.

    Returns:
        The violations, and the number of steps after which they were found.
    """
    env = Environment(seed)
    for number in range(steps):
        env.step()
        found = violations(env)
        if found:
            return found, number + 1
    return final_violations(env), steps


def shortest_failing(seed: int, steps: int) -> tuple[int, list[str]]:
    """Return the shortest failing prefix of a history with its violations."""
    for length in range(1, steps + 1):
        found, _ = run_history(seed, length)
        if found:
            return length, found
    return steps, []


def first_failure(seeds: range) -> str:
    """Run histories and describe the first that fails, empty for none."""
    logger.remove()
    for seed in seeds:
        found, steps = run_history(seed)
        if found:
            length, found = shortest_failing(seed, steps)
            return f"seed {seed}, {length} steps: {found}"
    return ""


class TestHistories(unittest.TestCase):
    """Check random histories with crashes, partitions, pauses, outages and two holders."""

    def test_invariants_hold_in_random_histories(self):
        """No job runs twice, is lost or gets a wrong outcome, whatever the faults."""
        last = FIRST_SEED + HISTORY_COUNT
        chunks = [
            range(first, min(first + CHUNK_SIZE, last)) for first in range(1, last, CHUNK_SIZE)
        ]
        with ProcessPoolExecutor() as pool:
            failures = [text for text in pool.map(first_failure, chunks) if text]
        self.assertEqual(failures, [])

    def test_regression_seeds(self):
        """Histories that once broke an invariant keep all invariants."""
        for seed, fault in REGRESSION_SEEDS.items():
            with self.subTest(fault):
                self.assertEqual(run_history(seed)[0], [])
