"""Call instances as clients do, and keep what they answered."""

import itertools
import json
import random
import threading
import time
from dataclasses import dataclass, field

import urllib3

from ._environment import HOST, KEY
from ._instances import Instance

__all__ = ["Callers", "SubmittedJob"]

WAIT_S = 3.0
"""How long a caller waits for an answer."""

AGAIN_S = 0.3
"""Pause before a caller tries again."""

TRIES = 5
CANCEL_SHARE = 0.1
LATE_REPEAT_SHARE = 0.1


@dataclass
class SubmittedJob:
    """Know one job that was handed in.

    Attributes:
        id: Its identity.
        path: Where it was handed in.
        steps: Its steps, as sent.
        answers: The status of each try, 0 for none.
        accepted_s: When it was first accepted, None if it never was.
        cancel_s: When a cancel was confirmed.
        shown: The newest state that was shown.
    """

    id: str
    path: str
    steps: list[dict]
    answers: list[int] = field(default_factory=list)
    accepted_s: float | None = None
    cancel_asked: bool = False
    cancel_s: float | None = None
    shown: str = ""

    @property
    def refused(self) -> bool:
        """Whether every try was refused as never to run."""
        return bool(self.answers) and all(code in (429, 503) for code in self.answers)

    def tasks(self) -> list[tuple[str, dict]]:
        """Return the name and the step of each task."""
        return [
            (f"{self.id}.0.{i}.{n}", step)
            for i, step in enumerate(self.steps)
            for n in range(step["count"])
        ]


class Callers:
    """Hand jobs in, look at them and cancel some."""

    def __init__(self, instances: list[Instance], seed: int) -> None:
        """Begin without a job.

        Args:
            instances: Who is called.
            seed: What the jobs are drawn from.
        """
        self._instances = instances
        self._seed = seed
        self._choice = random.Random(seed)
        self._numbers = itertools.count()
        self._lock = threading.Lock()
        self._pool = urllib3.PoolManager(maxsize=8, retries=False)
        self.work: list[SubmittedJob] = []
        self.faults: list[str] = []

    def submit_some(self, number: int, stopped: threading.Event, pause_s: float) -> None:
        """Hand jobs in one after the other until told to stop.

        Args:
            number: Which caller this is; each draws its own jobs.
            stopped: Set at the end.
            pause_s: Pause between two jobs, on average.
        """
        rng = random.Random(f"{self._seed}-{number}")
        while not stopped.wait(rng.uniform(0, 2 * pause_s)):
            work = self._draw(rng)
            with self._lock:
                self.work.append(work)
            self._submit(work, repeats=rng.random() < LATE_REPEAT_SHARE)
            if work.accepted_s and rng.random() < CANCEL_SHARE:
                self._cancel(work)

    def poll_jobs(self, check) -> bool:
        """Look at each accepted job; return whether all have ended.

        Args:
            check: Told of each job that is shown as completed.
        """
        done = True
        for work in list(self.work):
            if work.accepted_s is None or work.shown in ("completed", "cancelled"):
                continue
            asked_s = time.monotonic()
            status, body = self.call("GET", work.path)
            if status == 410 and work.accepted_s < asked_s:
                self.faults.append(f"LOST: {work.id} was accepted and is called unknown")
            if status == 200:
                work.shown = str(body.get("state"))
                if work.shown == "completed":
                    check(work)
                if work.shown == "failed":
                    self.faults.append(f"LOST: {work.id} is shown as failed")
            done = done and work.shown in ("completed", "cancelled")
        return done

    def call(
        self,
        method: str,
        path: str,
        *,
        body: dict | None = None,
        instance: Instance | None = None,
    ) -> tuple[int, dict]:
        """Make one call; 0 stands for no answer."""
        chosen = instance or self._choice.choice(self._instances)
        headers = {"Host": HOST, "X-Api-Key": KEY, "X-Deadline-Remaining": str(int(WAIT_S * 1000))}
        url = f"http://{chosen.callers.address}{path}"
        raw = json.dumps(body).encode() if body is not None else None
        try:
            reply = self._pool.request(method, url, body=raw, headers=headers, timeout=WAIT_S)
            return reply.status, json.loads(reply.data or b"{}")
        except (urllib3.exceptions.HTTPError, ValueError):
            return 0, {}

    def _draw(self, rng: random.Random) -> SubmittedJob:
        """Return a new job that six servers can run."""
        step = {
            "count": rng.choice((1, 1, 2, 3, 6)),
            "cpu": 1000,
            "mem-mb": rng.choice((1000, 68_000)),
            "gpu": rng.choice((1, 1, 2, 4, 8)),
            "estimated-ms": 800,
        }
        if rng.random() < 0.5:
            step |= {"gang": True, "rack-sensitive": rng.random() < 0.5}
        steps = [step]
        if rng.random() < 0.2:
            steps.append({"count": 2, "cpu": 1000, "gpu": 1, "estimated-ms": 800, "after": [0]})
        job_id = f"{rng.getrandbits(40):010x}{next(self._numbers):06x}"
        return SubmittedJob(job_id, f"/q{rng.randrange(3)}/{job_id}", steps)

    def _submit(self, work: SubmittedJob, *, repeats: bool) -> None:
        """Hand a job in until it is accepted, or give up."""
        for _ in range(TRIES):
            status, _ = self.call("POST", work.path, body={"spec": "soak", "steps": work.steps})
            work.answers.append(status)
            if status == 200:
                work.accepted_s = work.accepted_s or time.monotonic()
                if repeats:
                    self.call("POST", work.path, body={"spec": "soak", "steps": work.steps})
                return
            time.sleep(AGAIN_S)

    def _cancel(self, work: SubmittedJob) -> None:
        """Cancel a job."""
        work.cancel_asked = True
        for _ in range(TRIES):
            status, _ = self.call("DELETE", work.path)
            if status in (200, 410):
                work.cancel_s = time.monotonic()
                return
            time.sleep(AGAIN_S)
