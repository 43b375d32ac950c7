"""Send a steady load to running instances and say what came back."""

import collections
import itertools
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import fire
import urllib3

_THREADS = 64
_MOST_S = 600


@dataclass(frozen=True)
class Answer:
    """Hold what one request came back with.

    Attributes:
        name: The name of its code.
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
    """Send jobs at a steady rate through some instances in turn.

    Args:
        at: Where instances listen, with commas between them.
        workspace: The workspace.
        kind: The kind of work.
        rate: Jobs a second.
        seconds: How long, 600 at most.
        accelerators: What each job asks for.
        duration_s: How long each runs on a stand-in server.
        callers: How many callers to play.
    """
    places = itertools.cycle(at if isinstance(at, tuple) else at.split(","))
    http = urllib3.PoolManager(maxsize=_THREADS, retries=False)
    run = uuid.uuid4().hex[:8]

    def send(number: int, place: str) -> Answer:
        """Submit one job."""
        request = {
            "workspace": workspace,
            "kind": kind,
            "key": f"load-{run}-{number}",
            "caller": f"caller-{number % callers}",
            "accelerators": accelerators,
            "body": {"duration_s": duration_s},
        }
        began = time.monotonic()
        try:
            reply = http.request("POST", f"http://{place}/v1/jobs?wait_s=30", json=request)
            name = reply.json()["name"]
        except (urllib3.exceptions.HTTPError, ValueError) as exc:
            name = type(exc).__name__
        return Answer(name, time.monotonic() - began)

    began = time.monotonic()
    with ThreadPoolExecutor(_THREADS) as pool:
        futs = []
        for number in range(int(rate * min(seconds, _MOST_S))):
            time.sleep(max(began + number / rate - time.monotonic(), 0))
            futs.append(pool.submit(send, number, next(places)))
        answers = [fut.result() for fut in futs]
    _print(answers)


def _print(answers: list[Answer]) -> None:
    """Print how many came back with which code, and how fast."""
    counts = collections.Counter(answer.name for answer in answers)
    for name, count in counts.most_common():
        took = sorted(answer.took_s for answer in answers if answer.name == name)
        print(
            f"{name:<24}{count:>7}  median {took[len(took) // 2]:.3f} s"
            f"  p99 {took[int(len(took) * 0.99)]:.3f} s"
        )


if __name__ == "__main__":
    fire.Fire(load)
