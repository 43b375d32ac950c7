"""Schedule one availability zone under one epoch."""

import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from catkinknot.backends import (
    LEASE_TTL_S,
    RESERVE_TTL_S,
    RUN_TTL_S,
    Ack,
    Epoch,
    Extend,
    GangStarter,
    ServerHealth,
    ServerState,
    ServerWatch,
    Stop,
    TaskReport,
    WatchListener,
    lease_name,
)
from catkinknot.backends.exceptions import BackendError
from catkinknot.journal import part_logger
from catkinknot.membership import ListedInstance
from catkinknot.model import Configuration, JobId, JobRequest, Outcome, ResultCode, code_info
from catkinknot.model.exceptions import RefusedError
from catkinknot.placement import Fleet, Placement, Plan, Slice, Slot
from catkinknot.platformlog import (
    Applied,
    AttemptCleared,
    CancelRequested,
    DurableJob,
    JobAccepted,
    JobEnded,
    StartIntended,
)
from catkinknot.scheduler import Decision, DropJob, Job, JobState, Planner, StartJob, StopJob

from ._doubts import Doubt, DoubtAnswer, judge_doubt
from ._gangs import Gang, GangBoard
from ._messages import QueueStatus, ServerStatus
from ._servers import Troubles
from ._starts import Started, StartResult, StartRunner
from ._tools import Tools
from ._waiters import Answer, RecentOutcomes, Waiters

__all__ = ["SessionStatus", "ZoneSession"]

_TICK_S = 0.2
_SETTLE_S = 1.0
"""After taking a zone, wait this long for its servers before deciding."""

_ACK_DELAY_S = 2.0
"""Let a server forget a task this long after its answer went out."""

_DOUBT_PERIOD_S = 1.0
_RETRY_PAUSE_S = 0.2
_LOG_PAUSE_S = 1.0
_GANG_THREADS = 16

log = part_logger("scheduler")


@dataclass(frozen=True)
class SessionStatus:
    """Tell how a zone stands.

    Attributes:
        servers: Servers that answer.
        accelerators: Accelerators that may be used.
        free_accelerators: Free ones among them.
        troubled: Servers that are not in full use.
        unhonoured: Sizes of guaranteed shapes that could not be given now.
        queues: The queues.
        doubtful: Jobs whose outcome is being resolved.
    """

    servers: int
    accelerators: int
    free_accelerators: int
    troubled: tuple[ServerStatus, ...]
    unhonoured: tuple[int, ...]
    queues: tuple[QueueStatus, ...]
    doubtful: int


class ZoneSession(WatchListener):
    """Hold the servers of a zone and run its jobs until the epoch is over."""

    def __init__(self, tools: Tools, epoch: Epoch, cfg: Configuration, deposed) -> None:
        """Prepare; `start` begins the work.

        Args:
            tools: The shared parts.
            epoch: The epoch under which this instance holds the zone.
            cfg: The configuration in force.
            deposed: Called when a server has a newer holder.
        """
        self._tools = tools
        self._epoch = epoch
        self._cfg = cfg
        self._deposed = deposed
        self._lock = threading.RLock()
        self._wake = threading.Event()
        self._closed = False
        self._draining = False
        self._planner = Planner(cfg, tools.zone, fleet=Fleet([]))
        self._board = GangBoard()
        self._waiters = Waiters()
        self._recent = RecentOutcomes()
        self._health = ServerHealth()
        self._troubles = Troubles()
        self._doubts: dict[JobId, Doubt] = {}
        self._stubs: set[JobId] = set()
        self._leases: dict[JobId, str] = {}
        self._starting: set[tuple[JobId, int]] = set()
        self._watches: dict[str, ServerWatch] = {}
        self._boots: dict[str, str] = {}
        self._claimed: set[str] = set()
        self._acks: list[tuple[float, str, str]] = []
        self._unconfirmed: dict[JobId, Gang] = {}
        self._began_s = tools.clock.now()
        self._pool = ThreadPoolExecutor(_GANG_THREADS, thread_name_prefix="gang")
        starter = GangStarter(tools.holder, tools.clients.find, pool=self._pool)
        self._runner = StartRunner(tools, starter, epoch, self._alive)

    @property
    def epoch(self) -> Epoch:
        """The epoch under which this instance holds the zone."""
        return self._epoch

    def start(self, servers: list[ListedInstance]) -> None:
        """Take the zone's servers and the jobs that the log holds for it.

        Args:
            servers: The zone's servers.
        """
        with self._lock:
            with self._tools.reader.state() as state:
                mine = [
                    job
                    for job in state.jobs.values()
                    if job.zone == self._tools.zone and job.outcome is None
                ]
            for job in mine:
                self._take_durable(job)
        self.refresh_servers(servers)
        self._tools.launch("zone-decider", self._decide_next)
        self._tools.launch("zone-doubts", self._resolve_next)

    def close(self) -> None:
        """Stop deciding and let the leases lapse or pass on."""
        with self._lock:
            self._closed = True
            watches = list(self._watches.values())
            self._waiters.abandon()
        for watch in watches:
            watch.close()
        self._wake.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def drain(self) -> None:
        """Start nothing new from now on."""
        self._draining = True

    def busy(self) -> bool:
        """Tell whether any job is unfinished here."""
        with self._lock:
            return self._planner.unfinished > 0

    def refresh_servers(self, servers: list[ListedInstance]) -> None:
        """Take newly listed servers, and let go of those that left.

        Args:
            servers: The zone's servers as listed now.
        """
        listed = {item.name: item for item in servers}
        with self._lock:
            if self._closed:
                return
            for item in servers:
                self._note_listed(item)
            for name in [name for name in self._watches if name not in listed]:
                self._watches.pop(name).close()
                self._lose_server(name, "it is no longer listed")

    def configure(self, cfg: Configuration) -> None:
        """Put another configuration in force."""
        with self._lock:
            self._cfg = cfg
            self._planner.configure(cfg)
        self._wake.set()

    def submit(
        self, request: JobRequest, answer: Answer, wait_s: float, *, again: bool = False
    ) -> None:
        """Run a job, or wait for the one with the same key.

        Args:
            request: The job; its kind is not durable.
            answer: Takes the outcome.
            wait_s: Seconds after which to answer that it still runs.
            again: Whether another scheduler may have got it before.
        """
        now = self._tools.clock.now()
        with self._lock:
            if self._closed:
                answer(None)
                return
            known = self._known_answer(request)
            if known is not None:
                answer(known)
                return
            if self._planner.job(request.job_id) is None:
                refusal = self._admit(request, now, again)
                if refusal is not None:
                    answer(refusal)
                    return
            if wait_s > 0:
                self._waiters.add(request.job_id, answer, now + wait_s)
            else:
                answer(_still_running(request.job_id))
        self._wake.set()

    def ask(self, job_id: JobId, answer: Answer, wait_s: float) -> None:
        """Wait for a job that was submitted before.

        Args:
            job_id: The job.
            answer: Takes the outcome, None when the job is not known.
            wait_s: Seconds after which to answer that it still runs.
        """
        with self._lock:
            found = self._recent.find(job_id)
            if found is not None:
                answer(found[1])
            elif self._closed or self._planner.job(job_id) is None:
                answer(None)
            elif wait_s > 0:
                self._waiters.add(job_id, answer, self._tools.clock.now() + wait_s)
            else:
                answer(_still_running(job_id))

    def cancel(self, job_id: JobId) -> None:
        """End a job that its caller gave up."""
        with self._lock:
            if self._closed:
                return
            job = self._planner.job(job_id)
            if job is not None and not self._alive(tuple(self._watches)):
                # A rival may hold a server and have started it there.
                job.may_have_run = True
            for decision in self._planner.cancel(job_id, self._tools.clock.now()):
                self._carry_out(decision)
        self._wake.set()

    def status(self) -> SessionStatus:
        """Tell how the zone stands."""
        with self._lock:
            now = self._tools.clock.now()
            fleet = self._planner.fleet
            queues = [
                QueueStatus(workspace, kind, jobs, max(now - oldest, 0.0))
                for workspace, kind, jobs, oldest in self._planner.lanes()
            ]
            return SessionStatus(
                servers=len(self._claimed),
                accelerators=fleet.accelerators,
                free_accelerators=fleet.free_accelerators,
                troubled=self._troubles.all(),
                unhonoured=fleet.unhonoured(),
                queues=tuple(queues),
                doubtful=len(self._doubts),
            )

    def log_applied(self, applied: Applied) -> None:
        """Take a record of the log; called on the reader's thread."""
        match applied.record:
            case JobAccepted(request=request, zone=zone) if applied.verdict.ok:
                if zone == self._tools.zone:
                    self.take_from_log(request.job_id)
            case StartIntended(job=job_id, holder=holder) if applied.verdict.ok:
                if holder != self._tools.holder:
                    self._intended_elsewhere(job_id)
            case CancelRequested(job=job_id) if applied.verdict.ok:
                self._cancel_from_log(job_id)
            case JobEnded(outcome=outcome) if applied.verdict.ok:
                self._ended_on_log(outcome)
            case JobEnded(outcome=outcome):
                # Whatever made the answer invalid, the log knows what is next.
                self.take_from_log(outcome.job_id)

    def take_from_log(self, job_id: JobId) -> None:
        """Schedule a durable job that stands on the log."""
        with self._tools.reader.state() as state:
            job = state.job(job_id)
        if job is None or job.outcome is not None:
            return
        with self._lock:
            if not self._closed:
                self._take_durable(job)
        self._wake.set()

    def claimed(self, server: str, state: ServerState) -> None:
        """Take everything that a newly held server holds."""
        now = self._tools.clock.now()
        with self._lock:
            if self._closed:
                return
            self._tools.ring.add(
                "backends", "server.claimed", zone=self._tools.zone, server=server,
                epoch=str(self._epoch),
            )  # fmt: skip
            self._claimed.add(server)
            self._boots[server] = state.boot
            self._troubles.clear(server, "lost")
            self._set_off(server)
            reported = {task.lease for task in state.tasks}
            for job in self._planner.running_on(server):
                known = self._leases.get(job.job_id) in reported
                if not known and (job.job_id, job.attempt) not in self._starting:
                    self._forgotten(job, server)
            self._forget_members(server, reported)
            for task in state.tasks:
                self._take_report(server, task, now)
        self._wake.set()

    def task_changed(self, server: str, report: TaskReport) -> None:
        """Take the news of one task."""
        with self._lock:
            if not self._closed:
                self._take_report(server, report, self._tools.clock.now())
        self._wake.set()

    def lost(self, server: str, reason: str) -> None:
        """Take note that a server does not answer."""
        with self._lock:
            if not self._closed:
                self._lose_server(server, reason)
        self._wake.set()

    def deposed(self, server: str, reason: str) -> None:
        """Give the zone up, as another holder has a server."""
        log.warning("Server {} has a newer holder: {}.", server, reason)
        self._deposed(self)

    def tick(self) -> None:
        """Decide once."""
        now = self._tools.clock.now()
        with self._lock:
            if self._closed:
                return
            self._waiters.expire(now)
            self._settle_strangers(now)
            self._bring_back(now)
            if not self._settling(now) and not self._draining:
                for decision in self._planner.plan(now):
                    self._carry_out(decision)
            acks = self._due_acks(now)
        if acks:
            self._tools.spawn(self._send_acks, acks)

    def resolve_doubts(self) -> None:
        """Ask once about every start whose outcome is not known."""
        with self._lock:
            # A start that is still under way could follow the answer.
            doubts = [
                doubt
                for doubt in self._doubts.values()
                if (doubt.job.job_id, doubt.attempt) not in self._starting
            ]
        for doubt in doubts:
            if not self._closed:
                self._resolve(doubt)

    def _decide_next(self) -> bool:
        """Wait until there may be something to decide, and decide."""
        self._wake.wait(_TICK_S)
        self._wake.clear()
        self.tick()
        return not self._closed

    def _resolve_next(self) -> bool:
        """Wait a while, then resolve doubtful starts."""
        self._tools.clock.sleep(_DOUBT_PERIOD_S)
        self.resolve_doubts()
        return not self._closed

    def _settling(self, now: float) -> bool:
        """Tell whether servers of the zone are still being claimed."""
        return now < self._began_s + _SETTLE_S and len(self._claimed) < len(self._watches)

    def _alive(self, servers: tuple[str, ...]) -> bool:
        """Tell whether the leases on some servers are surely held."""
        watches = [self._watches.get(server) for server in servers]
        return not self._closed and all(watch and watch.valid() for watch in watches)

    def _carry_out(self, decision: Decision) -> None:
        """Hand a decision to the thread that carries it out."""
        match decision:
            case StartJob():
                boots = tuple(
                    self._boots.get(part.server, "") for part in decision.placement.slices
                )
                job_id = decision.job.job_id
                self._leases[job_id] = lease_name(job_id, decision.attempt, self._epoch)
                self._starting.add((job_id, decision.attempt))
                self._event(job_id, "job.starting", attempt=decision.attempt)
                self._tools.spawn(self._start, decision, boots)
            case StopJob(job_id=job_id, reason=reason):
                self._event(job_id, "job.stopping", reason, attempt=decision.attempt)
                self._tools.metrics.stops.inc({"zone": self._tools.zone})
                servers = [part.server for part in decision.placement.slices]
                lease = self._leases[job_id]
                self._tools.spawn(self._stop_all, servers, lease, decision.checkpoint)
            case DropJob(job=job, code=code, message=message):
                self._finish(job, code, message)

    def _start(self, decision: StartJob, boots: tuple[str, ...]) -> None:
        """Start a job and take note of what became of it."""
        try:
            result = self._runner.run(decision, boots)
        except Exception as exc:
            # Whatever went wrong, the start may have happened.
            log.exception("A start failed inside the service.")
            result = StartResult(Started.UNKNOWN, reason=type(exc).__name__)
        labels = {"zone": self._tools.zone, "outcome": result.started.value}
        self._tools.metrics.starts.inc(labels)
        job, attempt = decision.job, decision.attempt
        with self._lock:
            self._starting.discard((job.job_id, attempt))
            if self._closed:
                return
            text = f"{result.started.value} {result.reason}".strip()
            self._event(job.job_id, "job.start", text, attempt=attempt)
            self._started(job, attempt, decision, result, boots)
        self._wake.set()

    def _started(
        self,
        job: Job,
        attempt: int,
        decision: StartJob,
        result: StartResult,
        boots: tuple[str, ...],
    ) -> None:
        """Take note of what became of a start."""
        now = self._tools.clock.now()
        if result.started in (Started.NO, Started.NOT_RECORDED, Started.FORBIDDEN):
            # A doubt that arose meanwhile is about a start that was not made.
            self._doubts.pop(job.job_id, None)
        match result.started:
            case Started.YES:
                self._check_runs(job, attempt, decision, boots)
            case Started.FORBIDDEN:
                self._planner.drop(job.job_id, now)
                self._take_again(job.job_id)
            case Started.NOT_RECORDED:
                self._planner.not_started(job.job_id, attempt, now, pause_s=_LOG_PAUSE_S)
                job.attempt -= 1
            case Started.NO:
                self._planner.not_started(job.job_id, attempt, now, pause_s=_RETRY_PAUSE_S)
                if not job.kind.idempotent:
                    self._clear_attempt(job.job_id, attempt, "no start was sent")
            case Started.UNKNOWN if job.kind.idempotent:
                self._planner.not_started(job.job_id, attempt, now, pause_s=RESERVE_TTL_S)
            case _:
                servers = tuple(part.server for part in decision.placement.slices)
                lease = self._leases[job.job_id]
                self._doubts[job.job_id] = Doubt(job, attempt, lease, servers, boots, now)

    def _check_runs(
        self, job: Job, attempt: int, decision: StartJob, boots: tuple[str, ...]
    ) -> None:
        """Deal with a server that was replaced while it was asked to start."""
        if self._planner.job(job.job_id) is not job or job.attempt != attempt:
            return
        for part, boot in zip(decision.placement.slices, boots, strict=True):
            if self._boots.get(part.server, "") != boot and job.state is JobState.RUNNING:
                self._forgotten(job, part.server)
                return

    def _take_again(self, job_id: JobId) -> None:
        """Read a job from the log again after the log forbade its start."""
        with self._tools.reader.state() as state:
            durable = state.job(job_id)
        if durable is None or durable.outcome is not None:
            return
        self._take_durable(durable)
        job = self._planner.job(job_id)
        if job is not None:
            job.not_before_s = self._tools.clock.now() + _LOG_PAUSE_S

    def _stop_all(self, servers: list[str], lease: str, checkpoint: bool) -> None:
        """Stop the members of a gang; lost servers are dealt with elsewhere."""
        for server in servers:
            try:
                req = Stop(self._tools.holder, self._epoch, lease, checkpoint)
                self._tools.clients.find(server).stop(req)
            except BackendError as exc:
                log.debug("Stop on {} failed: {}.", server, exc.message)

    def _known_answer(self, request: JobRequest) -> Outcome | None:
        """Return the answer to a repeated or conflicting request, or None."""
        found = self._recent.find(request.job_id)
        if found is not None:
            digest, outcome = found
            return self._reused(request) if digest not in ("", request.digest) else outcome
        job = self._planner.job(request.job_id)
        if job is None:
            return None
        if request.job_id in self._stubs:
            self._stubs.discard(request.job_id)
            job.request = request
        return self._reused(request) if job.request.digest != request.digest else None

    def _reused(self, request: JobRequest) -> Outcome:
        """Refuse a key that stands for other work."""
        return Outcome(
            request.workspace, request.key, ResultCode.KEY_REUSED, "the key stands for other work"
        )

    def _admit(self, request: JobRequest, now: float, again: bool) -> Outcome | None:
        """Let a new job wait, or return its refusal."""
        kind = self._cfg.kind(request.kind)
        if kind is None:
            code = ResultCode.UNKNOWN_KIND
            return Outcome(request.workspace, request.key, code, f"no kind {request.kind}")
        if self._draining:
            return None
        job = Job(request, kind, now, may_have_run=again)
        try:
            self._planner.submit(job, now)
        except RefusedError as exc:
            self._event(request.job_id, "job.refused", exc.message)
            return Outcome(request.workspace, request.key, exc.code, exc.message)
        self._event(request.job_id, "job.queued")
        return None

    def _take_durable(self, durable: DurableJob) -> None:
        """Let a job of the log wait, or resolve the start it may have had."""
        request = durable.request
        if self._planner.job(request.job_id) is not None or request.job_id in self._doubts:
            return
        now = self._tools.clock.now()
        job = self._durable_job(durable, now)
        if job is None:
            return
        intent = durable.intent
        if intent is not None:
            lease = lease_name(request.job_id, intent.attempt, Epoch(intent.term))
            self._doubts[request.job_id] = Doubt(
                job, intent.attempt, lease, intent.servers, intent.boots, now
            )
            return
        try:
            self._planner.submit(job, now, must_take=True)
        except RefusedError as exc:
            self._finish(job, exc.code, exc.message)
            return
        self._event(request.job_id, "job.queued", "from the log", offset=durable.offset)
        if durable.cancelled:
            self.cancel(request.job_id)

    def _durable_job(self, durable: DurableJob, now: float) -> Job | None:
        """Describe a job of the log, None when its kind is gone."""
        kind = self._cfg.kind(durable.request.kind)
        if kind is None:
            log.error("Job {} is of no configured kind.", durable.request.job_id)
            return None
        age_s = max(self._tools.clock.wall() - durable.accepted_s, 0.0)
        job = Job(durable.request, kind, now - age_s, attempt=durable.attempts)
        # Whether another holder started an idempotent job is not on the log.
        job.may_have_run = kind.idempotent or durable.attempts > 0
        return job

    def _intended_elsewhere(self, job_id: JobId) -> None:
        """Resolve a start of another holder that was read only now."""
        with self._tools.reader.state() as state:
            durable = state.job(job_id)
        with self._lock:
            if self._closed or durable is None or durable.intent is None:
                return
            self._planner.drop(job_id, self._tools.clock.now())
            self._take_durable(durable)

    def _cancel_from_log(self, job_id: JobId) -> None:
        """Act on a cancellation that stands on the log."""
        with self._tools.reader.state() as state:
            durable = state.job(job_id)
        if durable is None:
            return
        if durable.outcome is not None:
            self._ended_on_log(durable.outcome)
        else:
            self.cancel(job_id)

    def _ended_on_log(self, outcome: Outcome) -> None:
        """Forget a job whose final answer stands on the log."""
        with self._lock:
            if self._closed:
                return
            self._planner.drop(outcome.job_id, self._tools.clock.now())
            self._doubts.pop(outcome.job_id, None)
            self._leases.pop(outcome.job_id, None)
            gang = self._unconfirmed.pop(outcome.job_id, None)
            if gang is not None:
                self._ack_later(gang)
            self._waiters.finish(outcome)
        self._wake.set()

    def _take_report(self, server: str, report: TaskReport, now: float) -> None:
        """Add a report to its gang and judge the gang."""
        gang = self._board.take(server, report, now)
        workspace, _, key = report.job.partition("/")
        job = self._planner.job(JobId(workspace, key))
        running = job is not None and job.state in (JobState.RUNNING, JobState.STOPPING)
        if running and self._leases.get(job.job_id) == report.lease:
            self._judge(job, gang, now)
        else:
            self._judge_stranger(gang, server, report, now)

    def _judge(self, job: Job, gang: Gang, now: float) -> None:
        """Conclude an attempt once no member can be running."""
        if not gang.over:
            if gang.failure is not None and gang.active:
                self._tools.spawn(self._stop_all, gang.active, gang.lease, False)
            return
        self._board.forget(gang)
        self._doubts.pop(job.job_id, None)
        if gang.answer is not None:
            self._conclude_done(job, gang, now)
        elif gang.failure is not None:
            self._conclude_failed(job, gang, now)
        elif job.kind.idempotent and (gang.phase_on("lapsed") or gang.lost):
            self._conclude_lost(job, gang, now)
        elif not gang.began:
            self._conclude_never_began(job, gang, now)
        elif job.kind.idempotent or gang.checkpointed:
            drop = self._planner.stopped(job.job_id, gang.attempt, now, progress_s=gang.progress_s)
            self._conclude_stopped(job, gang, drop)
        else:
            self._conclude_lost(job, gang, now)

    def _conclude_never_began(self, job: Job, gang: Gang, now: float) -> None:
        """Let a job wait again that none of its members worked on."""
        self._ack_later(gang)
        if job.cancelled:
            self._planner.drop(job.job_id, now)
        else:
            self._planner.not_started(job.job_id, gang.attempt, now)
        if not job.kind.idempotent:
            self._clear_attempt(job.job_id, gang.attempt, "no member began its work")
        elif job.cancelled:
            self._finish(job, ResultCode.CANCELLED, "cancelled before it began")

    def _conclude_done(self, job: Job, gang: Gang, now: float) -> None:
        """End a job with its result, or try again when the result is damaged."""
        report = gang.answer
        self._learn(gang, True, now)
        if not report.result.whole:
            self._event(job.job_id, "result.damaged", attempt=gang.attempt)
            if job.kind.idempotent:
                self._planner.not_started(job.job_id, gang.attempt, now)
                self._ack_later(gang)
                return
        self._planner.ended(job.job_id, gang.attempt, now)
        code = ResultCode.DONE if report.result.whole else ResultCode.LOST
        self._finish(job, code, "", gang=gang)

    def _conclude_failed(self, job: Job, gang: Gang, now: float) -> None:
        """End a failed job or let it wait for another attempt."""
        server, report = gang.failure
        self._learn(gang, False, now)
        drop = self._planner.failed(job.job_id, gang.attempt, server, now)
        text = f"{server}: {report.message}"
        self._event(job.job_id, "job.failed", text, attempt=gang.attempt, server=server)
        if drop is not None:
            message = f"{drop.message}: {report.message}"
            self._finish(job, drop.code, message, gang=gang)
        else:
            self._ack_later(gang)

    def _conclude_lost(self, job: Job, gang: Gang, now: float) -> None:
        """Try a lost job again, or say that it is lost."""
        if job.kind.idempotent and not job.cancelled:
            self._planner.not_started(job.job_id, gang.attempt, now)
            self._ack_later(gang)
            return
        self._planner.drop(job.job_id, now)
        code = ResultCode.STOPPED if job.cancelled else ResultCode.LOST
        self._finish(job, code, "its servers were lost while it ran", gang=gang)

    def _conclude_stopped(self, job: Job, gang: Gang, drop: DropJob | None) -> None:
        """End a cancelled job; one stopped for others waits again."""
        self._event(job.job_id, "job.stopped", attempt=gang.attempt)
        if drop is not None:
            self._finish(job, drop.code, drop.message, gang=gang)
            return
        self._ack_later(gang)
        if not job.kind.idempotent:
            # The stop is proved, so the log may allow the next attempt.
            self._clear_attempt(job.job_id, gang.attempt, "stopped at a checkpoint", began=True)

    def _learn(self, gang: Gang, ok: bool, now: float) -> None:
        """Judge servers by the end of a gang."""
        blamed = [gang.failure[0]] if not ok else list(gang.servers)
        for server in blamed:
            if self._health.record(server, ok, gang.job, now):
                self._troubles.add(
                    ServerStatus(
                        server, "set aside", self._tools.clock.wall(), "it fails many jobs"
                    )
                )
                self._set_off(server)
                log.warning("Server {} is set aside, as it fails many jobs.", server)
                self._tools.ring.add(
                    "backends", "server.set_aside", zone=self._tools.zone, server=server
                )

    def _judge_stranger(self, gang: Gang, server: str, report: TaskReport, now: float) -> None:
        """Deal with a task that is not the current attempt of a job here."""
        workspace, _, key = gang.job.partition("/")
        job_id = JobId(workspace, key)
        if self._superseded(job_id, gang):
            self._discard(gang, server)
            return
        if server in gang.active:
            self._block(server, report)
        else:
            self._unblock(server, gang.lease)
        if gang.complete:
            self._adopt(job_id, gang, now)
        elif gang.over:
            self._take_old_end(job_id, gang, now)

    def _superseded(self, job_id: JobId, gang: Gang) -> bool:
        """Tell whether a start no longer matters."""
        if self._recent.find(job_id) is not None:
            return True
        with self._tools.reader.state() as state:
            durable = state.job(job_id)
        if durable is not None and durable.outcome is not None:
            return True
        if durable is not None and not durable.idempotent:
            if gang.attempt > durable.attempts:
                # The log was not read far enough yet to judge this start.
                return False
            return durable.intent is None or durable.intent.attempt != gang.attempt
        job = self._planner.job(job_id)
        return job is not None and job.state is not JobState.WAITING

    def _discard(self, gang: Gang, server: str) -> None:
        """Stop what runs of an attempt that no longer matters."""
        if server in gang.active:
            self._block(server, gang.reports[server])
            self._tools.spawn(self._stop_all, [server], gang.lease, False)
            return
        self._unblock(server, gang.lease)
        self._acks.append((self._tools.clock.now(), server, gang.lease))
        if gang.over:
            self._board.forget(gang)

    def _block(self, server: str, report: TaskReport) -> None:
        """Keep the accelerators of a stranger's task."""
        name = _block_name(server, report.lease)
        fleet = self._planner.fleet
        if name in fleet.allocations:
            return
        place = Placement((Slice(server, report.mask),))
        try:
            fleet.take(name, "", Plan(place), stoppable=False)
        except ValueError:
            # The place is known to be in use already; the server itself
            # refuses whatever would overlap.
            return

    def _unblock(self, server: str, lease: str) -> None:
        """Free the accelerators of a stranger's task."""
        self._planner.fleet.release(_block_name(server, lease))

    def _adopt(self, job_id: JobId, gang: Gang, now: float) -> None:
        """Go on with a gang that an earlier holder started."""
        job = self._planner.job(job_id) or self._doubted_job(job_id, gang.attempt)
        if job is None:
            job = self._stub(job_id, gang, now)
        if job is None:
            for server in list(gang.active):
                self._discard(gang, server)
            return
        for server in gang.servers:
            self._unblock(server, gang.lease)
        job.attempt = gang.attempt
        self._leases[job_id] = gang.lease
        self._doubts.pop(job_id, None)
        try:
            self._planner.adopt(job, gang.placement, now)
        except ValueError:
            log.error("Job {} overlaps another job and is stopped.", job_id)
            self._tools.spawn(self._stop_all, list(gang.active), gang.lease, False)
            return
        self._event(job_id, "job.adopted", attempt=gang.attempt)
        if any(not report.confirmed for report in gang.reports.values()):
            self._tools.spawn(self._confirm, gang)
        if job.cancelled:
            job.cancelled = False
            self.cancel(job_id)

    def _doubted_job(self, job_id: JobId, attempt: int) -> Job | None:
        """Return the job whose start was in doubt, or None."""
        doubt = self._doubts.get(job_id)
        return doubt.job if doubt is not None and doubt.attempt == attempt else None

    def _stub(self, job_id: JobId, gang: Gang, now: float) -> Job | None:
        """Describe a job that only its servers know, until its caller asks again."""
        report = next(iter(gang.reports.values()))
        kind = self._cfg.kind(report.kind)
        if kind is None or not kind.idempotent or kind.durable:
            return None
        request = JobRequest(
            workspace=job_id.workspace,
            kind=kind.name,
            key=job_id.key,
            accelerators=gang.placement.accelerators,
        )
        self._stubs.add(job_id)
        return Job(request, kind, now)

    def _take_old_end(self, job_id: JobId, gang: Gang, now: float) -> None:
        """Use the end of a gang that an earlier holder started."""
        for server in gang.servers:
            self._unblock(server, gang.lease)
        job = self._planner.job(job_id) or self._doubted_job(job_id, gang.attempt)
        if job is None:
            self._keep_old_answer(job_id, gang, now)
            return
        if not job.kind.idempotent and job_id not in self._doubts:
            # The log will soon show the start that this is the end of.
            return
        self._board.forget(gang)
        self._doubts.pop(job_id, None)
        if gang.answer is not None and gang.answer.result.whole:
            self._planner.drop(job_id, now)
            self._finish(job, ResultCode.DONE, "", gang=gang)
        elif job.kind.idempotent:
            self._ack_later(gang)
        elif not gang.began:
            self._clear_attempt(job_id, gang.attempt, "no member began its work")
            self._planner.submit(job, now, must_take=True)
            self._ack_later(gang)
        elif gang.checkpointed and not job.cancelled:
            job.progress_s = max(job.progress_s, gang.progress_s)
            self._clear_attempt(job_id, gang.attempt, "stopped at a checkpoint", began=True)
            self._planner.submit(job, now, must_take=True)
            self._ack_later(gang)
        else:
            code = ResultCode.JOB_FAILED if gang.failure else ResultCode.LOST
            message = gang.failure[1].message if gang.failure else "it was interrupted"
            self._finish(job, code, message, gang=gang)

    def _keep_old_answer(self, job_id: JobId, gang: Gang, now: float) -> None:
        """Keep an answer whose caller may still ask for it."""
        report = next(iter(gang.reports.values()))
        kind = self._cfg.kind(report.kind)
        if kind is not None and kind.durable:
            # Only the log says what this belongs to, once it is read.
            return
        self._board.forget(gang)
        if gang.answer is not None and gang.answer.result.whole and kind is not None:
            outcome = self._outcome(job_id, ResultCode.DONE, "", gang, attempt=gang.attempt)
            self._recent.keep("", outcome, now)
            self._waiters.finish(outcome)
        self._ack_later(gang)

    def _settle_strangers(self, now: float) -> None:
        """Judge gangs of earlier holders anew, and end those that never got complete."""
        for gang in self._board.gangs():
            workspace, _, key = gang.job.partition("/")
            job_id = JobId(workspace, key)
            if self._leases.get(job_id) == gang.lease or now < gang.first_s + RESERVE_TTL_S:
                continue
            gang.first_s = now
            if gang.active and not gang.complete:
                self._tools.spawn(self._stop_all, gang.active, gang.lease, False)
            # A server that is held and has not reported a member has none.
            gang.lost |= {s for s in gang.servers if s in self._claimed and s not in gang.reports}
            if self._superseded(job_id, gang):
                for server in list(gang.reports):
                    self._discard(gang, server)
            elif gang.complete:
                self._adopt(job_id, gang, now)
            elif gang.over:
                self._take_old_end(job_id, gang, now)

    def _confirm(self, gang: Gang) -> None:
        """Let the members of an adopted gang run on."""
        for server in gang.servers:
            try:
                req = Extend(self._tools.holder, self._epoch, (gang.lease,), RUN_TTL_S)
                self._tools.clients.find(server).extend(req)
            except BackendError as exc:
                log.warning("Server {} did not extend a task: {}.", server, exc.message)

    def _forgotten(self, job: Job, server: str) -> None:
        """Deal with a running job that its server no longer knows."""
        lease = self._leases[job.job_id]
        servers = tuple(part.server for part in self._planner.placement(job.job_id).slices)
        now = self._tools.clock.now()
        gang = self._board.find_or_add(lease, str(job.job_id), job.attempt, servers, now)
        gang.lost.add(server)
        if gang.over or job.kind.idempotent:
            others = [name for name in gang.servers if name not in gang.lost]
            self._tools.spawn(self._stop_all, others, lease, False)
            self._board.forget(gang)
            self._conclude_lost(job, gang, now)

    def _forget_members(self, server: str, reported: set[str]) -> None:
        """Take note that a server no longer knows some members."""
        for gang in self._board.gangs():
            if server in gang.servers and gang.lease not in reported:
                gang.lost.add(server)
                self._unblock(server, gang.lease)

    def _lose_server(self, server: str, reason: str) -> None:
        """Use a server no more and deal with what ran on it."""
        self._claimed.discard(server)
        self._troubles.add(ServerStatus(server, "lost", self._tools.clock.wall(), reason))
        self._set_off(server)
        self._tools.ring.add(
            "backends", "server.lost", reason, zone=self._tools.zone, server=server
        )
        log.warning("Server {} does not answer: {}.", server, reason)
        now = self._tools.clock.now()
        for job in self._planner.running_on(server):
            if job.kind.idempotent:
                self._forgotten(job, server)
            elif job.job_id not in self._doubts:
                self._doubt_running(job, now)
        self._board.lose(server)

    def _doubt_running(self, job: Job, now: float) -> None:
        """Begin to resolve what became of a job that must not run twice."""
        servers = tuple(part.server for part in self._planner.placement(job.job_id).slices)
        boots = tuple(self._boots.get(server, "") for server in servers)
        lease = self._leases[job.job_id]
        self._doubts[job.job_id] = Doubt(job, job.attempt, lease, servers, boots, now)

    def _note_listed(self, listed: ListedInstance) -> None:
        """Hold a listed server, and use it no more when it leaves."""
        client = self._tools.clients.take(listed)
        self._planner.fleet.add_server(Slot(listed.name, listed.rack, listed.accelerators))
        if listed.state == "leaving":
            status = ServerStatus(listed.name, "leaving", self._tools.clock.wall(), "it leaves")
            self._troubles.add(status)
        else:
            self._troubles.clear(listed.name, "leaving")
        watch = self._watches.get(listed.name)
        if watch is not None and watch.client is not client:
            watch.close()
            watch = None
        if watch is None:
            watch = ServerWatch(
                client,
                self._tools.holder,
                self._epoch,
                self,
                run_ttl_s=RUN_TTL_S,
                clock=self._tools.clock,
            )
            self._watches[listed.name] = watch
            self._planner.fleet.set_off(listed.name, True)
            self._tools.launch(f"watch-{listed.name}", watch.step)
        self._set_off(listed.name)

    def _set_off(self, server: str) -> None:
        """Allow or forbid new work on a server by what is known of it."""
        off = server not in self._claimed or self._troubles.any(server)
        self._planner.fleet.set_off(server, off)

    def _bring_back(self, now: float) -> None:
        """Give servers that were set aside one more try."""
        for server in self._health.due_back(now):
            self._troubles.clear(server, "set aside")
            self._set_off(server)
            self._tools.ring.add("backends", "server.probed", zone=self._tools.zone, server=server)

    def _finish(self, job: Job, code: ResultCode, message: str, *, gang: Gang | None = None):
        """Give a job its final answer."""
        outcome = self._outcome(job.job_id, code, message, gang, attempt=job.attempt)
        self._event(job.job_id, "job.ended", f"{int(code)} {code.name}", attempt=outcome.attempt)
        if job.kind.durable:
            if gang is not None:
                self._unconfirmed[job.job_id] = gang
            self._tools.appender.append(JobEnded(outcome))
            return
        self._leases.pop(job.job_id, None)
        digest = "" if job.job_id in self._stubs else job.request.digest
        self._stubs.discard(job.job_id)
        if not code_info(code).retry:
            self._recent.keep(digest, outcome, self._tools.clock.now())
        self._waiters.finish(outcome)
        if gang is not None:
            self._ack_later(gang)

    def _outcome(
        self, job_id: JobId, code: ResultCode, message: str, gang: Gang | None, *, attempt: int
    ) -> Outcome:
        """Write the final answer of a job."""
        done = gang is not None and gang.answer is not None and code is ResultCode.DONE
        return Outcome(
            workspace=job_id.workspace,
            key=job_id.key,
            code=code,
            message=message,
            attempt=attempt,
            zone=self._tools.zone if gang else "",
            result=gang.answer.result if done else None,
        )

    def _ack_later(self, gang: Gang) -> None:
        """Let the servers of a gang forget it after a while."""
        due_s = self._tools.clock.now() + _ACK_DELAY_S
        self._acks += [(due_s, server, gang.lease) for server in gang.reports]

    def _due_acks(self, now: float) -> dict[str, list[str]]:
        """Take the acknowledgements that are due, by server."""
        due: dict[str, list[str]] = {}
        left = []
        for row in self._acks:
            due_s, server, lease = row
            if due_s > now:
                left.append(row)
            else:
                due.setdefault(server, []).append(lease)
        self._acks = left
        return due

    def _send_acks(self, acks: dict[str, list[str]]) -> None:
        """Let servers forget ended tasks; what fails is told again by a claim."""
        for server, leases in acks.items():
            try:
                req = Ack(self._tools.holder, self._epoch, tuple(leases))
                self._tools.clients.find(server).ack(req)
            except BackendError as exc:
                log.debug("Server {} took no acknowledgement: {}.", server, exc.message)

    def _resolve(self, doubt: Doubt) -> None:
        """Ask the servers of a doubtful start what became of it."""
        answer = judge_doubt(
            doubt,
            self._tools.clients.find,
            holder=self._tools.holder,
            epoch=self._epoch,
            ttl_s=LEASE_TTL_S,
            now=self._tools.clock.now(),
        )
        job_id = doubt.job.job_id
        with self._lock:
            if self._closed or self._doubts.get(job_id) is not doubt:
                return
            match answer:
                case DoubtAnswer.RUNNING:
                    gang = self._board.find(doubt.lease)
                    if gang is not None and gang.complete:
                        self._tools.spawn(self._confirm, gang)
                case DoubtAnswer.LOST:
                    del self._doubts[job_id]
                    self._planner.drop(job_id, self._tools.clock.now())
                    self._finish(doubt.job, ResultCode.LOST, "its servers were lost")
                case DoubtAnswer.NEVER_STARTED:
                    del self._doubts[job_id]
                    self._wait_after_doubt(doubt)
        self._wake.set()

    def _wait_after_doubt(self, doubt: Doubt) -> None:
        """Let a job wait again whose start is proved not to have happened."""
        job, now = doubt.job, self._tools.clock.now()
        self._event(job.job_id, "job.cleared", attempt=doubt.attempt)
        self._clear_attempt(job.job_id, doubt.attempt, "the servers never started it")
        if self._planner.job(job.job_id) is None:
            self._planner.submit(job, now, must_take=True)
        else:
            self._planner.not_started(job.job_id, doubt.attempt, now, pause_s=_RETRY_PAUSE_S)

    def _clear_attempt(
        self, job_id: JobId, attempt: int, reason: str, *, began: bool = False
    ) -> None:
        """Record that an attempt is not running, so that another may follow."""
        record = AttemptCleared(job_id, attempt, self._epoch.term, reason, began)
        self._tools.appender.append(record)

    def _event(self, job_id: JobId, name: str, text: str = "", **cause) -> None:
        """Add an event of a job to the time line."""
        self._tools.ring.add(
            "scheduler",
            name,
            text,
            job=str(job_id),
            zone=self._tools.zone,
            epoch=str(self._epoch),
            **cause,
        )


def _still_running(job_id: JobId) -> Outcome:
    """Say that a job has not ended yet."""
    return Outcome(job_id.workspace, job_id.key, ResultCode.RUNNING, "not ended yet")


def _block_name(server: str, lease: str) -> str:
    """Name the allocation of a stranger's task."""
    return f"!{lease}@{server}"
