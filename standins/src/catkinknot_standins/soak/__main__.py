"""Play seeds from the command line: ``python -m catkinknot_standins.soak --seeds 1:50``."""

import os
import signal
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import fire

from ._instances import end_all
from ._run import play

SECONDS = 12.0
INSTANCES = 4
SERVERS = 6


def run(
    seeds: str = "",
    *,
    fresh: int = 0,
    seconds: float = SECONDS,
    instances: int = INSTANCES,
    servers: int = SERVERS,
    jobs: int = 2,
) -> None:
    """Play seeds, several at a time, and say which promises broke.

    Args:
        seeds: A range as FIRST:LAST, or seeds joined by commas.
        fresh: How many new seeds to play besides.
        seconds: For how long faults strike in each.
        instances: How many instances each has.
        servers: How many servers each has.
        jobs: How many seeds are played at a time.
    """
    signal.signal(signal.SIGTERM, _end)
    numbers = _read_seeds(str(seeds).strip("()").replace(" ", ""))
    first = int(time.time()) % 1_000_000 * 1000
    numbers += range(first, first + fresh)
    shape = {"seconds": seconds, "instances": instances, "servers": servers}
    failed = 0
    with ThreadPoolExecutor(jobs) as pool:
        for result in pool.map(lambda n: play(n, Path(f"build/soak/{n}"), **shape), numbers):
            print(result, flush=True)
            if result.faults:
                failed += 1
                print("\n".join(f"    {event}" for event in result.events))
                print("\n".join(f"  {fault}" for fault in result.faults[:10]), flush=True)
    print(f"{len(numbers) - failed} seeds held, {failed} broken")
    sys.exit(1 if failed else 0)


def _end(*_: object) -> None:
    """End with the processes that were started here."""
    end_all()
    os._exit(1)


def _read_seeds(text: str) -> list[int]:
    """Return the seeds that a range or a list names."""
    if ":" in text:
        first, last = text.split(":")
        return list(range(int(first), int(last) + 1))
    return [int(part) for part in text.split(",") if part]


if __name__ == "__main__":
    fire.Fire(run)
