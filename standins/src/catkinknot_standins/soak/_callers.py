"""Callers that submit jobs to instances and record the answers."""

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

CALL_TIMEOUT_S = 3.0
"""Time for which a caller waits for an answer."""

RETRY_PAUSE_S = 0.3
"""Pause between the attempts of a caller."""

MAX_ATTEMPT_COUNT = 5
CANCEL_SHARE = 0.1
GIVE_UP_SHARE = 0.15

GIVE_UP_S = 0.4
"""Time after which an impatient caller leaves, and cancels its job elsewhere."""

LATE_REPEAT_SHARE = 0.1


@dataclass
class SubmittedJob:
    """Job that a caller submitted.

    Attributes:
        id: Identity of the job.
        path: URL path of the job.
        steps: Steps of the job, as sent.
        answers: HTTP status of each attempt to submit the job, 0 for no answer.
        accepted_s: Time at which the job was first accepted, None if it never was.
        cancel_asked: Whether the caller asked to cancel the job.
        cancel_confirmed_at_s: Time at which a cancel was confirmed, None if it never was.
        cancelled_unknown: Whether the cancel was confirmed with the answer that no such job
            exists.
        shown: Last state that an instance reported.
    """

    id: str
    path: str
    steps: list[dict]
    answers: list[int] = field(default_factory=list)
    accepted_s: float | None = None
    cancel_asked: bool = False
    cancel_confirmed_at_s: float | None = None
    cancelled_unknown: bool = False
    shown: str = ""

    @property
    def refused(self) -> bool:
        """Whether every attempt got a status that promises that the job never runs."""
        return bool(self.answers) and all(code in (429, 503) for code in self.answers)

    def tasks(self) -> list[tuple[str, dict]]:
        """Return the name and the step of each task."""
        return [
            (f"{self.id}.0.{i}.{n}", step)
            for i, step in enumerate(self.steps)
            for n in range(step["count"])
        ]


class Callers:
    """Callers that submit jobs, poll them and cancel some."""

    def __init__(self, instances: list[Instance], seed: int) -> None:
        """Create callers without jobs.

        Args:
            instances: Instances to call.
            seed: Seed of the random jobs.
        """
        self._instances = instances
        self._seed = seed
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._lock = threading.Lock()
        self._pool = urllib3.PoolManager(maxsize=8, retries=False)
        self.jobs: list[SubmittedJob] = []
        self.faults: list[str] = []

    def submit_jobs(self, number: int, stopped: threading.Event, pause_s: float) -> None:
        """Submit one job after the other until stopped.

        Args:
            number: Number of the caller; each caller draws its own jobs.
            stopped: Event that stops the caller.
            pause_s: Mean pause between two jobs.
        """
        rng = random.Random(f"{self._seed}-{number}")
        moods = random.Random(f"{self._seed}-{number}-moods")
        while not stopped.wait(rng.uniform(0, 2 * pause_s)):
            job = self._draw_job(rng)
            with self._lock:
                self.jobs.append(job)
            if moods.random() < GIVE_UP_SHARE:
                self._submit_impatiently(job)
                continue
            self._submit(job, repeats=rng.random() < LATE_REPEAT_SHARE)
            if job.accepted_s and rng.random() < CANCEL_SHARE:
                self._cancel(job)

    def poll_jobs(self, check) -> bool:
        """Poll each accepted job that has not ended; return whether all have ended.

        Args:
            check: Called with each job that is reported as completed.
        """
        done = True
        for job in list(self.jobs):
            if job.accepted_s is None or job.shown in ("completed", "cancelled"):
                continue
            asked_s = time.monotonic()
            status, body = self.call("GET", job.path)
            if status == 410 and job.accepted_s < asked_s:
                self.faults.append(f"LOST: {job.id} was accepted and is reported as unknown")
            if status == 200:
                job.shown = str(body.get("state"))
                if job.shown == "completed":
                    check(job)
                if job.shown == "failed":
                    self.faults.append(f"LOST: {job.id} is reported as failed")
            done = done and job.shown in ("completed", "cancelled")
        return done

    def check_unknown_cancels(self) -> None:
        """Record each job that lives on although its cancel was answered as unknown."""
        for job in self.jobs:
            if not job.cancelled_unknown:
                continue
            status, body = self.call("GET", job.path)
            if status == 200 and body.get("state") != "cancelled":
                self.faults.append(
                    f"UNASKED: {job.id} is {body.get('state')}, its cancel was confirmed with 410"
                )

    def call(
        self,
        method: str,
        path: str,
        *,
        body: dict | None = None,
        instance: Instance | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, dict]:
        """Call an instance, by default a random one; return the status and the body.

        Without an answer, the status is 0 and the body is empty.
        """
        chosen = instance or self._rng.choice(self._instances)
        headers = {
            "Host": HOST,
            "X-Api-Key": KEY,
            "X-Deadline-Remaining": str(int(CALL_TIMEOUT_S * 1000)),
        }
        url = f"http://{chosen.callers.address}{path}"
        raw = json.dumps(body).encode() if body is not None else None
        try:
            reply = self._pool.request(method, url, body=raw, headers=headers, timeout=timeout_s)
            return reply.status, json.loads(reply.data or b"{}")
        except (urllib3.exceptions.HTTPError, ValueError):
            return 0, {}

    def _draw_job(self, rng: random.Random) -> SubmittedJob:
        """Return a random job that six servers can run."""
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

    def _submit(self, job: SubmittedJob, *, repeats: bool) -> None:
        """Submit a job until it is accepted or the attempts are used up.

        With `repeats`, an accepted job is submitted once more.
        """
        for _ in range(MAX_ATTEMPT_COUNT):
            status, _ = self.call("POST", job.path, body={"spec": "soak", "steps": job.steps})
            job.answers.append(status)
            if status == 200:
                job.accepted_s = job.accepted_s or time.monotonic()
                if repeats:
                    self.call("POST", job.path, body={"spec": "soak", "steps": job.steps})
                return
            time.sleep(RETRY_PAUSE_S)

    def _submit_impatiently(self, job: SubmittedJob) -> None:
        """Submit a job once, and cancel it if there is no answer soon."""
        body = {"spec": "soak", "steps": job.steps}
        status, _ = self.call("POST", job.path, body=body, timeout_s=GIVE_UP_S)
        job.answers.append(status)
        if status == 200:
            job.accepted_s = time.monotonic()
        elif status == 0:
            self._cancel(job)

    def _cancel(self, job: SubmittedJob) -> None:
        """Cancel a job, retrying until the cancel is confirmed or the attempts are used up."""
        job.cancel_asked = True
        for _ in range(MAX_ATTEMPT_COUNT):
            status, _ = self.call("DELETE", job.path)
            if status in (200, 410):
                job.cancel_confirmed_at_s = time.monotonic()
                job.cancelled_unknown = status == 410
                return
            time.sleep(RETRY_PAUSE_S)
