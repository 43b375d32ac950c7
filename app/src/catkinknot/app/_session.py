"""Schedule one availability zone under one epoch."""

import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from catkinknot.backends import (
    RESERVE_TTL_S,
    RUN_TTL_S,
    Epoch,
    GangStarter,
    ServerState,
    ServerWatch,
    TaskReport,
    WatchListener,
    lease_name,
    lease_ttl_s,
    poll_wait_s,
)
from catkinknot.journal import part_logger
from catkinknot.membership import ListedInstance
from catkinknot.model import Configuration, JobId, JobRequest, Outcome, ResultCode
from catkinknot.model.exceptions import RefusedError
from catkinknot.placement import Fleet, ServerSpec
from catkinknot.platformlog import (
    AppliedEntry,
    CancelRequested,
    DurableJob,
    JobAccepted,
    JobEnded,
    StartIntended,
)
from catkinknot.scheduler import Decision, DropJob, Job, JobState, Planner, StartJob, StopJob

from ._attempts import AttemptFinalizer
from ._context import InstanceContext
from ._messages import QueueStatus, ServerStatus
from ._orphans import OrphanHandler
from ._starts import Started, StartResult, StartRunner
from ._unresolved import StartResolution, UnresolvedStart, resolve_start
from ._waiters import OutcomeCallback
from ._zone_state import ZoneState

__all__ = ["SessionStatus", "ZoneSession"]

_TICK_S = 0.2
_SERVER_WAIT_S = 1.0
"""How long a new session waits for its servers to be claimed before it plans jobs."""

_RESOLVE_PERIOD_S = 1.0
_RETRY_PAUSE_S = 0.2
_LOG_RETRY_PAUSE_S = 1.0
_GANG_THREAD_COUNT = 16

log = part_logger("scheduler")


@dataclass(frozen=True)
class SessionStatus:
    """Status of a zone.

    Attributes:
        servers: The number of servers whose lease this instance holds.
        accelerators: The number of usable accelerators.
        free_accelerators: The number of free accelerators among them.
        troubled: Reasons not to start new work on servers.
        unhonoured: Sizes of guaranteed shapes that cannot be honoured now.
        queues: The queues.
        doubtful: The number of starts whose outcome is unknown.
    """

    servers: int
    accelerators: int
    free_accelerators: int
    troubled: tuple[ServerStatus, ...]
    unhonoured: tuple[int, ...]
    queues: tuple[QueueStatus, ...]
    doubtful: int


class ZoneSession(WatchListener):
    """Session that holds a zone's servers under one epoch and runs the zone's jobs."""

    def __init__(self, context: InstanceContext, epoch: Epoch, cfg: Configuration, deposed) -> None:
        """Create a session; `start` begins the work.

        Args:
            context: The context of this instance.
            epoch: The epoch under which this instance holds the zone.
            cfg: The configuration in force.
            deposed: Called with this session when a server has a newer holder.
        """
        planner = Planner(cfg, context.zone, fleet=Fleet([]))
        self._zone = ZoneState(context, epoch, cfg, planner)
        self._finalizer = AttemptFinalizer(self._zone)
        self._orphans = OrphanHandler(self._zone, self._finalizer, self.cancel)
        self._deposed = deposed
        self._wake = threading.Event()
        self._draining = False
        self._opened_s = context.clock.now()
        self._pool = ThreadPoolExecutor(_GANG_THREAD_COUNT, thread_name_prefix="gang")
        starter = GangStarter(context.holder, context.clients.find, pool=self._pool)
        self._runner = StartRunner(context, starter, epoch, self._leases_valid)

    @property
    def epoch(self) -> Epoch:
        """The epoch under which this instance holds the zone."""
        return self._zone.epoch

    def start(self, servers: list[ListedInstance]) -> None:
        """Enqueue the zone's jobs on the log, watch its servers and start the threads.

        Args:
            servers: The listed servers of the zone.
        """
        with self._zone.lock:
            with self._zone.context.reader.state() as state:
                zone_jobs = [
                    job
                    for job in state.jobs.values()
                    if job.zone == self._zone.context.zone and job.outcome is None
                ]
            for job in zone_jobs:
                self._enqueue_durable(job)
        self.refresh_servers(servers)
        self._zone.context.launch("zone-decider", self._decide_next)
        self._zone.context.launch("zone-doubts", self._resolve_next)

    def close(self) -> None:
        """Stop deciding and renewing leases; they lapse or pass to the next holder."""
        with self._zone.lock:
            self._zone.closed = True
            watches = list(self._zone.watches.values())
            self._zone.waiters.abandon()
        for watch in watches:
            watch.close()
        self._wake.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def drain(self) -> None:
        """Start no more jobs."""
        self._draining = True

    def busy(self) -> bool:
        """Return whether any job is unfinished here."""
        with self._zone.lock:
            return self._zone.planner.unfinished > 0

    def refresh_servers(self, servers: list[ListedInstance]) -> None:
        """Watch newly listed servers, and drop those no longer listed.

        Args:
            servers: The listed servers of the zone.
        """
        listed = {item.name: item for item in servers}
        with self._zone.lock:
            if self._zone.closed:
                return
            for item in servers:
                self._watch_listed(item)
            for name in [name for name in self._zone.watches if name not in listed]:
                self._zone.watches.pop(name).close()
                self._mark_server_lost(name, "the server is no longer listed")

    def configure(self, cfg: Configuration) -> None:
        """Apply a configuration."""
        with self._zone.lock:
            self._zone.cfg = cfg
            self._zone.planner.configure(cfg)
        self._wake.set()

    def submit(
        self, request: JobRequest, answer: OutcomeCallback, wait_s: float, *, again: bool = False
    ) -> None:
        """Run a job, or wait for an earlier job with the same key.

        Args:
            request: The job; its kind is not durable.
            answer: Receives the outcome.
            wait_s: Seconds after which to answer that it is still running.
            again: Whether another scheduler may have received it before.
        """
        now = self._zone.context.clock.now()
        with self._zone.lock:
            if self._zone.closed:
                answer(None)
                return
            known = self._existing_outcome(request)
            if known is not None:
                answer(known)
                return
            if self._zone.planner.job(request.job_id) is None:
                refusal = self._admit(request, now, again)
                if refusal is not None:
                    answer(refusal)
                    return
            if wait_s > 0:
                self._zone.waiters.add(request.job_id, answer, now + wait_s)
            else:
                answer(_still_running(request.job_id))
        self._wake.set()

    def ask(self, job_id: JobId, answer: OutcomeCallback, wait_s: float) -> None:
        """Wait for a job that was submitted before.

        Args:
            job_id: The job.
            answer: Receives the outcome, None if the job is unknown.
            wait_s: Seconds after which to answer that it is still running.
        """
        with self._zone.lock:
            found = self._zone.recent_outcomes.find(job_id)
            if found is not None:
                answer(found[1])
            elif self._zone.closed or self._zone.planner.job(job_id) is None:
                answer(None)
            elif wait_s > 0:
                self._zone.waiters.add(job_id, answer, self._zone.context.clock.now() + wait_s)
            else:
                answer(_still_running(job_id))

    def cancel(self, job_id: JobId) -> None:
        """Cancel a job."""
        with self._zone.lock:
            if self._zone.closed:
                return
            job = self._zone.planner.job(job_id)
            if job is not None and not self._leases_valid(tuple(self._zone.watches)):
                # Another holder may have claimed a server and started the job there.
                job.may_have_run = True
            for decision in self._zone.planner.cancel(job_id, self._zone.context.clock.now()):
                self._execute(decision)
        self._wake.set()

    def status(self) -> SessionStatus:
        """Return the status of the zone."""
        with self._zone.lock:
            now = self._zone.context.clock.now()
            fleet = self._zone.planner.fleet
            queues = [
                QueueStatus(workspace, kind, jobs, max(now - oldest, 0.0))
                for workspace, kind, jobs, oldest in self._zone.planner.lanes()
            ]
            return SessionStatus(
                servers=len(self._zone.claimed),
                accelerators=fleet.accelerators,
                free_accelerators=fleet.free_accelerators,
                troubled=self._zone.issues.all(),
                unhonoured=fleet.unhonoured(),
                queues=tuple(queues),
                doubtful=len(self._zone.unresolved),
            )

    def apply_log_record(self, applied: AppliedEntry) -> None:
        """Apply a record of the log; called on the reader's thread."""
        match applied.record:
            case JobAccepted(request=request, zone=zone) if applied.verdict.ok:
                if zone == self._zone.context.zone:
                    self.schedule_from_log(request.job_id)
            case StartIntended(job=job_id, holder=holder) if applied.verdict.ok:
                if holder != self._zone.context.holder:
                    self._reconcile_intent(job_id)
            case CancelRequested(job=job_id) if applied.verdict.ok:
                self._cancel_from_log(job_id)
            case JobEnded(outcome=outcome) if applied.verdict.ok:
                self._apply_logged_outcome(outcome)
            case JobEnded(outcome=outcome):
                # The log refused the outcome, so the job continues as the log has it.
                self.schedule_from_log(outcome.job_id)

    def schedule_from_log(self, job_id: JobId) -> None:
        """Schedule a durable job on the log."""
        with self._zone.context.reader.state() as state:
            job = state.job(job_id)
        if job is None or job.outcome is not None:
            return
        with self._zone.lock:
            if not self._zone.closed:
                self._enqueue_durable(job)
        self._wake.set()

    def claimed(self, server: str, state: ServerState) -> None:
        """Apply the state of a server that was just claimed."""
        now = self._zone.context.clock.now()
        with self._zone.lock:
            if self._zone.closed:
                return
            self._zone.context.ring.add(
                "backends", "server.claimed", zone=self._zone.context.zone, server=server,
                epoch=str(self._zone.epoch),
            )  # fmt: skip
            self._zone.claimed.add(server)
            self._zone.boots[server] = state.boot
            self._zone.issues.clear(server, "lost")
            self._zone.update_cordon(server)
            reported = {task.lease for task in state.tasks}
            for job in self._zone.planner.running_on(server):
                known = self._zone.leases.get(job.job_id) in reported
                if not known and (job.job_id, job.attempt) not in self._zone.starting:
                    self._finalizer.handle_missing_task(job, server)
            self._mark_members_lost(server, reported)
            for task in state.tasks:
                self._apply_report(server, task, now)
        self._wake.set()

    def task_changed(self, server: str, report: TaskReport) -> None:
        """Apply the report of a task."""
        with self._zone.lock:
            if not self._zone.closed:
                self._apply_report(server, report, self._zone.context.clock.now())
        self._wake.set()

    def lost(self, server: str, reason: str) -> None:
        """Handle a server that does not answer."""
        with self._zone.lock:
            if not self._zone.closed:
                self._mark_server_lost(server, reason)
        self._wake.set()

    def deposed(self, server: str, reason: str) -> None:
        """Report that a server has a newer holder, which ends this session."""
        log.warning("Server {} has a newer holder: {}.", server, reason)
        self._deposed(self)

    def tick(self) -> None:
        """Run one scheduling round: expire waits, recheck orphans, plan jobs, acknowledge tasks."""
        now = self._zone.context.clock.now()
        with self._zone.lock:
            if self._zone.closed:
                return
            self._zone.waiters.expire(now)
            self._orphans.recheck(now)
            self._restore_quarantined(now)
            if not self._awaiting_servers(now) and not self._draining:
                for decision in self._zone.planner.plan(now):
                    self._execute(decision)
            acks = self._finalizer.pop_due_acks(now)
        if acks:
            self._zone.context.spawn(self._finalizer.send_acks, acks)

    def resolve_starts(self) -> None:
        """Try once to resolve every start whose outcome is unknown."""
        with self._zone.lock:
            # A start still in progress could take effect after the servers answer.
            unresolved = [
                start
                for start in self._zone.unresolved.values()
                if (start.job.job_id, start.attempt) not in self._zone.starting
            ]
        for start in unresolved:
            if not self._zone.closed:
                self._resolve(start)

    def _decide_next(self) -> bool:
        """Wait for a change or the tick period, then run a scheduling round."""
        self._wake.wait(_TICK_S)
        self._wake.clear()
        self.tick()
        return not self._zone.closed

    def _resolve_next(self) -> bool:
        """Wait one period, then try to resolve the unresolved starts."""
        self._zone.context.clock.sleep(_RESOLVE_PERIOD_S)
        self.resolve_starts()
        return not self._zone.closed

    def _poll_pace_s(self) -> float:
        """Return how many seconds a server should hold an idle poll open."""
        return poll_wait_s(len(self._zone.watches))

    def _awaiting_servers(self, now: float) -> bool:
        """Return whether a new session still waits for servers to be claimed."""
        return now < self._opened_s + _SERVER_WAIT_S and len(self._zone.claimed) < len(
            self._zone.watches
        )

    def _leases_valid(self, servers: tuple[str, ...]) -> bool:
        """Return whether the leases on all given servers are certain to be valid."""
        watches = [self._zone.watches.get(server) for server in servers]
        return not self._zone.closed and all(watch and watch.valid() for watch in watches)

    def _execute(self, decision: Decision) -> None:
        """Execute a decision of the planner; starts and stops run on threads of the pool."""
        match decision:
            case StartJob():
                boots = tuple(
                    self._zone.boots.get(part.server, "") for part in decision.placement.slices
                )
                job_id = decision.job.job_id
                self._zone.leases[job_id] = lease_name(job_id, decision.attempt, self._zone.epoch)
                self._zone.starting.add((job_id, decision.attempt))
                self._zone.record_event(job_id, "job.starting", attempt=decision.attempt)
                self._zone.context.spawn(self._start, decision, boots)
            case StopJob(job_id=job_id, reason=reason):
                self._zone.record_event(job_id, "job.stopping", reason, attempt=decision.attempt)
                self._zone.context.metrics.stops.inc({"zone": self._zone.context.zone})
                servers = [part.server for part in decision.placement.slices]
                lease = self._zone.leases[job_id]
                self._zone.context.spawn(
                    self._finalizer.stop_members, servers, lease, decision.checkpoint
                )
            case DropJob(job=job, code=code, message=message):
                self._finalizer.finish(job, code, message)

    def _start(self, decision: StartJob, boots: tuple[str, ...]) -> None:
        """Start a job and handle the outcome."""
        try:
            result = self._runner.run(decision, boots)
        except Exception as exc:
            # The start may have happened in spite of the exception.
            log.exception("Starting a job raised an exception.")
            result = StartResult(Started.UNKNOWN, reason=type(exc).__name__)
        labels = {"zone": self._zone.context.zone, "outcome": result.started.value}
        self._zone.context.metrics.starts.inc(labels)
        job, attempt = decision.job, decision.attempt
        with self._zone.lock:
            self._zone.starting.discard((job.job_id, attempt))
            if self._zone.closed:
                return
            text = f"{result.started.value} {result.reason}".strip()
            self._zone.record_event(job.job_id, "job.start", text, attempt=attempt)
            self._handle_start_outcome(job, attempt, decision, result, boots)
        self._wake.set()

    def _handle_start_outcome(
        self,
        job: Job,
        attempt: int,
        decision: StartJob,
        result: StartResult,
        boots: tuple[str, ...],
    ) -> None:
        """Handle the outcome of a start."""
        now = self._zone.context.clock.now()
        if result.started in (Started.NO, Started.NOT_RECORDED, Started.FORBIDDEN):
            # The start was not made, so an entry that was added meanwhile is void.
            self._zone.unresolved.pop(job.job_id, None)
        match result.started:
            case Started.YES:
                self._check_boots(job, attempt, decision, boots)
            case Started.FORBIDDEN:
                self._zone.planner.drop(job.job_id, now)
                self._reload_from_log(job.job_id)
            case Started.NOT_RECORDED:
                self._zone.planner.not_started(job.job_id, attempt, now, pause_s=_LOG_RETRY_PAUSE_S)
                job.attempt -= 1
            case Started.NO:
                self._zone.planner.not_started(job.job_id, attempt, now, pause_s=_RETRY_PAUSE_S)
                if not job.kind.idempotent:
                    self._zone.clear_attempt(job.job_id, attempt, "no start was sent")
            case Started.UNKNOWN if job.kind.idempotent:
                self._zone.planner.not_started(job.job_id, attempt, now, pause_s=RESERVE_TTL_S)
            case _:
                servers = tuple(part.server for part in decision.placement.slices)
                lease = self._zone.leases[job.job_id]
                self._zone.unresolved[job.job_id] = UnresolvedStart(
                    job, attempt, lease, servers, boots, now
                )

    def _check_boots(
        self, job: Job, attempt: int, decision: StartJob, boots: tuple[str, ...]
    ) -> None:
        """Handle a server that was restarted or replaced during the start."""
        if self._zone.planner.job(job.job_id) is not job or job.attempt != attempt:
            return
        for part, boot in zip(decision.placement.slices, boots, strict=True):
            if self._zone.boots.get(part.server, "") != boot and job.state is JobState.RUNNING:
                self._finalizer.handle_missing_task(job, part.server)
                return

    def _reload_from_log(self, job_id: JobId) -> None:
        """Enqueue a job from the log again after the log refused its start."""
        with self._zone.context.reader.state() as state:
            durable = state.job(job_id)
        if durable is None or durable.outcome is not None:
            return
        self._enqueue_durable(durable)
        job = self._zone.planner.job(job_id)
        if job is not None:
            job.not_before_s = self._zone.context.clock.now() + _LOG_RETRY_PAUSE_S

    def _existing_outcome(self, request: JobRequest) -> Outcome | None:
        """Return the answer to a repeated or conflicting request, or None.

        An adopted job without its request gets the repeated one.
        """
        found = self._zone.recent_outcomes.find(request.job_id)
        if found is not None:
            digest, outcome = found
            return (
                self._refuse_reused_key(request) if digest not in ("", request.digest) else outcome
            )
        job = self._zone.planner.job(request.job_id)
        if job is None:
            return None
        if request.job_id in self._zone.stubs:
            self._zone.stubs.discard(request.job_id)
            job.request = request
        return self._refuse_reused_key(request) if job.request.digest != request.digest else None

    def _refuse_reused_key(self, request: JobRequest) -> Outcome:
        """Return the refusal of a key that is in use for a different request."""
        return Outcome(
            request.workspace,
            request.key,
            ResultCode.KEY_REUSED,
            "the key is in use for a different request",
        )

    def _admit(self, request: JobRequest, now: float, again: bool) -> Outcome | None:
        """Enqueue a new job unless the session is draining, or return its refusal."""
        kind = self._zone.cfg.kind(request.kind)
        if kind is None:
            code = ResultCode.UNKNOWN_KIND
            return Outcome(request.workspace, request.key, code, f"no kind is named {request.kind}")
        if self._draining:
            return None
        job = Job(request, kind, now, may_have_run=again)
        try:
            self._zone.planner.submit(job, now)
        except RefusedError as exc:
            self._zone.record_event(request.job_id, "job.refused", exc.message)
            return Outcome(request.workspace, request.key, exc.code, exc.message)
        self._zone.record_event(request.job_id, "job.queued")
        return None

    def _enqueue_durable(self, durable: DurableJob) -> None:
        """Enqueue a job of the log, or mark its recorded start as unresolved."""
        request = durable.request
        if (
            self._zone.planner.job(request.job_id) is not None
            or request.job_id in self._zone.unresolved
        ):
            return
        now = self._zone.context.clock.now()
        job = self._build_durable_job(durable, now)
        if job is None:
            return
        intent = durable.intent
        if intent is not None:
            lease = lease_name(request.job_id, intent.attempt, Epoch(intent.term))
            self._zone.unresolved[request.job_id] = UnresolvedStart(
                job, intent.attempt, lease, intent.servers, intent.boots, now
            )
            return
        try:
            self._zone.planner.submit(job, now, already_accepted=True)
        except RefusedError as exc:
            self._finalizer.finish(job, exc.code, exc.message)
            return
        self._zone.record_event(request.job_id, "job.queued", "from the log", offset=durable.offset)
        if durable.cancelled:
            self.cancel(request.job_id)

    def _build_durable_job(self, durable: DurableJob, now: float) -> Job | None:
        """Build a job of the log, None if its kind is no longer configured."""
        kind = self._zone.cfg.kind(durable.request.kind)
        if kind is None:
            log.error(
                "Job {} is not scheduled, as its kind is not configured.", durable.request.job_id
            )
            return None
        age_s = max(self._zone.context.clock.wall() - durable.accepted_s, 0.0)
        job = Job(durable.request, kind, now - age_s, attempt=durable.attempts)
        # Starts of idempotent jobs are not recorded on the log, so another
        # holder may have started one.
        job.may_have_run = kind.idempotent or durable.attempts > 0
        return job

    def _reconcile_intent(self, job_id: JobId) -> None:
        """Mark a start recorded by another holder as unresolved."""
        with self._zone.context.reader.state() as state:
            durable = state.job(job_id)
        with self._zone.lock:
            if self._zone.closed or durable is None or durable.intent is None:
                return
            self._zone.planner.drop(job_id, self._zone.context.clock.now())
            self._enqueue_durable(durable)

    def _cancel_from_log(self, job_id: JobId) -> None:
        """Apply a cancellation read from the log."""
        with self._zone.context.reader.state() as state:
            durable = state.job(job_id)
        if durable is None:
            return
        if durable.outcome is not None:
            self._apply_logged_outcome(durable.outcome)
        else:
            self.cancel(job_id)

    def _apply_logged_outcome(self, outcome: Outcome) -> None:
        """Remove a job whose final outcome is on the log, and answer its waiters."""
        with self._zone.lock:
            if self._zone.closed:
                return
            self._zone.planner.drop(outcome.job_id, self._zone.context.clock.now())
            self._zone.unresolved.pop(outcome.job_id, None)
            self._zone.leases.pop(outcome.job_id, None)
            gang = self._zone.unconfirmed.pop(outcome.job_id, None)
            if gang is not None:
                self._finalizer.schedule_acks(gang)
            self._zone.waiters.finish(outcome)
        self._wake.set()

    def _apply_report(self, server: str, report: TaskReport, now: float) -> None:
        """Add a report to its gang and evaluate the gang."""
        gang = self._zone.board.add_report(server, report, now)
        workspace, _, key = report.job.partition("/")
        job = self._zone.planner.job(JobId(workspace, key))
        running = job is not None and job.state in (JobState.RUNNING, JobState.STOPPING)
        if running and self._zone.leases.get(job.job_id) == report.lease:
            self._finalizer.evaluate(job, gang, now)
        else:
            self._orphans.evaluate(gang, server, report, now)

    def _mark_members_lost(self, server: str, reported: set[str]) -> None:
        """Mark members as lost that a server did not report."""
        for gang in self._zone.board.gangs():
            if server in gang.servers and gang.lease not in reported:
                gang.lost.add(server)
                self._orphans.release_accelerators(server, gang.lease)

    def _mark_server_lost(self, server: str, reason: str) -> None:
        """Stop using a server and handle the jobs that ran on it."""
        self._zone.claimed.discard(server)
        self._zone.issues.add(ServerStatus(server, "lost", self._zone.context.clock.wall(), reason))
        self._zone.update_cordon(server)
        self._zone.context.ring.add(
            "backends", "server.lost", reason, zone=self._zone.context.zone, server=server
        )
        log.warning("Server {} is lost: {}.", server, reason)
        now = self._zone.context.clock.now()
        for job in self._zone.planner.running_on(server):
            if job.kind.idempotent:
                self._finalizer.handle_missing_task(job, server)
            elif job.job_id not in self._zone.unresolved:
                self._track_unresolved(job, now)
        self._zone.board.mark_server_lost(server)

    def _track_unresolved(self, job: Job, now: float) -> None:
        """Mark the start of a running job as unresolved, as the job must not run twice."""
        servers = tuple(part.server for part in self._zone.planner.placement(job.job_id).slices)
        boots = tuple(self._zone.boots.get(server, "") for server in servers)
        lease = self._zone.leases[job.job_id]
        self._zone.unresolved[job.job_id] = UnresolvedStart(
            job, job.attempt, lease, servers, boots, now
        )

    def _watch_listed(self, listed: ListedInstance) -> None:
        """Watch a listed server, and start no new work on it while it is leaving."""
        client = self._zone.context.clients.get_or_connect(listed)
        self._zone.planner.fleet.add_server(
            ServerSpec(listed.name, listed.rack, listed.accelerators)
        )
        if listed.state == "leaving":
            status = ServerStatus(
                listed.name, "leaving", self._zone.context.clock.wall(), "the server is leaving"
            )
            self._zone.issues.add(status)
        else:
            self._zone.issues.clear(listed.name, "leaving")
        watch = self._zone.watches.get(listed.name)
        if watch is not None and watch.client is not client:
            watch.close()
            watch = None
        if watch is None:
            watch = ServerWatch(
                client,
                self._zone.context.holder,
                self._zone.epoch,
                self,
                run_ttl_s=RUN_TTL_S,
                poll_wait=self._poll_pace_s,
                clock=self._zone.context.clock,
            )
            self._zone.watches[listed.name] = watch
            self._zone.planner.fleet.set_cordoned(listed.name, True)
            self._zone.context.launch(f"watch-{listed.name}", watch.step)
        self._zone.update_cordon(listed.name)

    def _restore_quarantined(self, now: float) -> None:
        """Use servers again whose quarantine has ended."""
        for server in self._zone.health.release_expired(now):
            self._zone.issues.clear(server, "set aside")
            self._zone.update_cordon(server)
            self._zone.context.ring.add(
                "backends", "server.probed", zone=self._zone.context.zone, server=server
            )

    def _resolve(self, start: UnresolvedStart) -> None:
        """Query the servers of an unresolved start and apply the resolution."""
        resolution = resolve_start(
            start,
            self._zone.context.clients.find,
            holder=self._zone.context.holder,
            epoch=self._zone.epoch,
            ttl_s=lease_ttl_s(self._poll_pace_s()),
            now=self._zone.context.clock.now(),
        )
        job_id = start.job.job_id
        with self._zone.lock:
            if self._zone.closed or self._zone.unresolved.get(job_id) is not start:
                return
            match resolution:
                case StartResolution.RUNNING:
                    gang = self._zone.board.find(start.lease)
                    if gang is not None and gang.complete:
                        self._zone.context.spawn(self._orphans.confirm, gang)
                case StartResolution.LOST:
                    del self._zone.unresolved[job_id]
                    self._zone.planner.drop(job_id, self._zone.context.clock.now())
                    self._finalizer.finish(
                        start.job, ResultCode.LOST, "the servers of the job were lost"
                    )
                case StartResolution.NEVER_STARTED:
                    del self._zone.unresolved[job_id]
                    self._requeue_never_started(start)
        self._wake.set()

    def _requeue_never_started(self, start: UnresolvedStart) -> None:
        """Requeue a job whose start is proved not to have happened."""
        job, now = start.job, self._zone.context.clock.now()
        self._zone.record_event(job.job_id, "job.cleared", attempt=start.attempt)
        self._zone.clear_attempt(job.job_id, start.attempt, "the servers never started it")
        if self._zone.planner.job(job.job_id) is None:
            self._zone.planner.submit(job, now, already_accepted=True)
        else:
            self._zone.planner.not_started(job.job_id, start.attempt, now, pause_s=_RETRY_PAUSE_S)


def _still_running(job_id: JobId) -> Outcome:
    """Return the outcome of a job that has not ended yet."""
    return Outcome(job_id.workspace, job_id.key, ResultCode.RUNNING, "the job has not ended yet")
