"""Check what must always hold over many random histories of faults."""

import unittest
from concurrent.futures import ProcessPoolExecutor

from loguru import logger
from stepped import CONFIG, World

from catkinknot.model import ResultCode

HISTORIES = 2000
STEPS = 150
FIRST_SEED = 1
CHUNK = 50

FOUND = {
    24: "an attempt stopped without a checkpoint was started again",
    21: "an answer without its attempt was refused by the log",
    147: "a task on a server replaced within a second was never missed",
    282: "a waiting scan was said not to have run while a rival started it",
    4586: "the place of a vanished member stayed blocked",
    6509: "a replaced server kept the place of an old task blocked",
    7384: "a claim of the doubt resolver hid that a server was replaced",
    7839: "an old task was forgotten before the log showed its start",
    10689: "a running job whose server had vanished was never concluded",
    11351: "a doubt about a start that was not made hid the one that was",
    21973: "a job stopped at a checkpoint and cancelled was said not to have run",
    8779: "an end was acknowledged on a stale view of the log",
}


def violations(world: World) -> list[str]:
    """List what does not hold in a world at this moment."""
    found = []
    for name, request in world.jobs.items():
        kind = CONFIG.kind(request.kind)
        starts = world.starts(name)
        if not kind.idempotent and len(starts) != len(set(starts)):
            found.append(f"{name}: an attempt was started twice: {starts}")
        if not kind.idempotent and not kind.checkpointable and len(starts) > 1:
            found.append(f"{name}: started {len(starts)} times")
    found += partial_gangs(world)
    return found


def partial_gangs(world: World) -> list[str]:
    """List gangs that were confirmed although a member never started."""
    found = []
    known = {
        (server, task.report.job, task.report.attempt): task
        for server, stand_in in world.servers.items()
        for task in stand_in._tasks.values()
    }
    for (server, job, attempt), task in known.items():
        if world.rebooted or not (task.active and task.report.confirmed):
            continue
        found += [
            f"{job}#{attempt}: {server} runs on without {other}"
            for other in task.report.servers
            if (other, job, attempt) not in known
        ]
    return found


def final_violations(world: World) -> list[str]:
    """List what does not hold after all faults have ended."""
    state = world.settle()
    found = violations(world)
    for name, job in state.jobs.items():
        starts = world.starts(name)
        if job.outcome is None:
            found.append(f"{name}: never ended")
            continue
        code = job.outcome.code
        if code is ResultCode.CANCELLED and starts:
            found.append(f"{name}: said to be not run, but started {starts}")
        if code is ResultCode.DONE and not job.outcome.result.whole:
            found.append(f"{name}: its result is not whole")
        if code is ResultCode.DONE and not starts:
            found.append(f"{name}: done without a start")
    world.clock.advance(200.0)
    for server, stand_in in world.servers.items():
        if stand_in.active_masks() and not any(a.session for a in world.actors):
            found.append(f"{server}: still busy after everything ended")
    return found


def run_history(seed: int, steps: int = STEPS) -> tuple[list[str], int]:
    """Run one history.

    Returns:
        What did not hold, and after how many steps.
    """
    world = World(seed)
    for number in range(steps):
        world.step()
        found = violations(world)
        if found:
            return found, number + 1
    return final_violations(world), steps


def shortest_failing(seed: int, steps: int) -> tuple[int, list[str]]:
    """Find the shortest beginning of a history that fails."""
    for length in range(1, steps + 1):
        found, _ = run_history(seed, length)
        if found:
            return length, found
    return steps, []


def first_failure(seeds: range) -> str:
    """Run some histories and describe the first that fails, empty for none."""
    logger.remove()
    for seed in seeds:
        found, steps = run_history(seed)
        if found:
            length, found = shortest_failing(seed, steps)
            return f"seed {seed}, {length} steps: {found}"
    return ""


class TestHistories(unittest.TestCase):
    """Check random histories with kills, cuts, pauses, outages and rivals."""

    def test_nothing_is_doubled_or_lost(self):
        """Every history keeps all invariants."""
        last = FIRST_SEED + HISTORIES
        chunks = [range(first, min(first + CHUNK, last)) for first in range(1, last, CHUNK)]
        with ProcessPoolExecutor() as pool:
            failures = [text for text in pool.map(first_failure, chunks) if text]
        self.assertEqual(failures, [])

    def test_seeds_that_once_failed(self):
        """Histories whose faults were mended stay mended."""
        for seed, fault in FOUND.items():
            with self.subTest(fault):
                self.assertEqual(run_history(seed)[0], [])
