"""Command line of the soak test: ``python -m catkinknot_standins.soak --seeds 1:50``."""

import os
import signal
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import fire

from ._instances import end_all
from ._run import run_seed

FAULT_PHASE_S = 12.0
INSTANCE_COUNT = 4
SERVER_COUNT = 6


def run(
    seeds: str = "",
    *,
    fresh: int = 0,
    seconds: float = FAULT_PHASE_S,
    instances: int = INSTANCE_COUNT,
    servers: int = SERVER_COUNT,
    jobs: int = 2,
) -> None:
    """Run seeds concurrently, and report the guarantees that were violated.

    Args:
        seeds: A range as FIRST:LAST, or seeds separated by commas.
        fresh: Number of new seeds to run in addition.
        seconds: Duration of the fault phase of each run.
        instances: Instances in each run.
        servers: Servers in each run.
        jobs: Seeds that run at a time.
    """
    signal.signal(signal.SIGTERM, _terminate)
    numbers = _read_seeds(str(seeds).strip("()").replace(" ", ""))
    first = int(time.time()) % 1_000_000 * 1000
    numbers += range(first, first + fresh)
    shape = {"seconds": seconds, "instances": instances, "servers": servers}
    failed = 0
    with ThreadPoolExecutor(jobs) as pool:
        for result in pool.map(lambda n: run_seed(n, Path(f"build/soak/{n}"), **shape), numbers):
            print(result, flush=True)
            if result.faults:
                failed += 1
                print("\n".join(f"    {event}" for event in result.events))
                print("\n".join(f"  {fault}" for fault in result.faults[:10]), flush=True)
    print(f"{len(numbers) - failed} seeds passed, {failed} failed")
    sys.exit(1 if failed else 0)


def _terminate(*_: object) -> None:
    """Kill the instances of all runs and exit."""
    end_all()
    os._exit(1)


def _read_seeds(text: str) -> list[int]:
    """Return the seeds in a range or a list."""
    if ":" in text:
        first, last = text.split(":")
        return list(range(int(first), int(last) + 1))
    return [int(part) for part in text.split(",") if part]


if __name__ == "__main__":
    fire.Fire(run)
