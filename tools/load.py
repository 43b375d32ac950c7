"""Send a steady load to running instances and print a summary of the answers."""

import collections
import itertools
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import fire
import urllib3

_THREAD_COUNT = 64
_MAX_DURATION_S = 600


@dataclass(frozen=True)
class Answer:
    """Answer to one request.

    Attributes:
        name: The name of the result code, or of the exception if there is no answer.
        took_s: Seconds from submit to answer.
    """

    name: str
    took_s: float


def load(
    at: str,
    workspace: str,
    kind: str,
    *,
    rate: float = 10.0,
    seconds: float = 10.0,
    accelerators: int = 1,
    duration_s: float = 0.05,
    callers: int = 3,
) -> None:
    """Submit jobs at a steady rate, to the instances in turn.

    Args:
        at: The addresses of the instances, separated by commas.
        workspace: The workspace of the jobs.
        kind: The kind of work.
        rate: Jobs per second.
        seconds: The duration of the load, 600 at most.
        accelerators: How many accelerators each job needs.
        duration_s: How long each job runs on an emulated server.
        callers: How many distinct callers submit the jobs.
    """
    addresses = itertools.cycle(at if isinstance(at, tuple) else at.split(","))
    http = urllib3.PoolManager(maxsize=_THREAD_COUNT, retries=False)
    run_id = uuid.uuid4().hex[:8]

    def send(number: int, address: str) -> Answer:
        """Submit one job and wait for the answer."""
        request = {
            "workspace": workspace,
            "kind": kind,
            "key": f"load-{run_id}-{number}",
            "caller": f"caller-{number % callers}",
            "accelerators": accelerators,
            "body": {"duration_s": duration_s},
        }
        began_s = time.monotonic()
        try:
            reply = http.request("POST", f"http://{address}/v1/jobs?wait_s=30", json=request)
            name = reply.json()["name"]
        except (urllib3.exceptions.HTTPError, ValueError) as exc:
            name = type(exc).__name__
        return Answer(name, time.monotonic() - began_s)

    began_s = time.monotonic()
    with ThreadPoolExecutor(_THREAD_COUNT) as pool:
        futs = []
        for number in range(int(rate * min(seconds, _MAX_DURATION_S))):
            time.sleep(max(began_s + number / rate - time.monotonic(), 0))
            futs.append(pool.submit(send, number, next(addresses)))
        answers = [fut.result() for fut in futs]
    _print_summary(answers)


def _print_summary(answers: list[Answer]) -> None:
    """Print the count and the latencies of the answers by result code."""
    counts = collections.Counter(answer.name for answer in answers)
    for name, count in counts.most_common():
        took = sorted(answer.took_s for answer in answers if answer.name == name)
        print(
            f"{name:<24}{count:>7}  median {took[len(took) // 2]:.3f} s"
            f"  p99 {took[int(len(took) * 0.99)]:.3f} s"
        )


if __name__ == "__main__":
    fire.Fire(load)
