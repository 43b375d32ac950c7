"""Step zone sessions against emulated servers and an emulated log, with injected faults."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from catkinknot.app._config_registry import ConfigRegistry
from catkinknot.app._context import InstanceContext
from catkinknot.app._servers import ClientPool
from catkinknot.app._session import ZoneSession
from catkinknot.backends import Epoch, Poll
from catkinknot.backends.exceptions import BackendUnreachableError
from catkinknot.journal import EventRing, LogicalClock, Metrics
from catkinknot.membership import ListedInstance
from catkinknot.model import (
    Configuration,
    GuaranteedShape,
    JobRequest,
    Kind,
    Outcome,
    SteppedClock,
    Workspace,
    Zone,
)
from catkinknot.platformlog import (
    Appender,
    CancelRequested,
    JobAccepted,
    LogReader,
    LogState,
    Verdict,
    ZoneClaimed,
)
from catkinknot.platformlog.exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    NotAppendedError,
)
from catkinknot_standins import BackendServer, Faults, LogStore

ZONE = "z"
SERVER_COUNT = 3

CONFIG = Configuration(
    deployment="stepped",
    zones=(Zone(ZONE, SERVER_COUNT, 8, SERVER_COUNT),),
    kinds=(
        Kind("plate", 5, 1e6, idempotent=False, durable=True, checkpointable=True,
             max_accelerators=24, expected_s=2),
        Kind("record", 3, 1e6, idempotent=False, durable=True, max_accelerators=16, expected_s=2),
        Kind("scan", 6, 1e6, durable=True, max_accelerators=8, expected_s=1),
        Kind("proof", 9, 1e6, checkpointable=True, max_accelerators=16, expected_s=1),
    ),
    workspaces=(
        Workspace("a", guarantee=(GuaranteedShape(8, 1, ZONE),)),
        Workspace("b", guarantee=(GuaranteedShape(4, 2, ZONE),)),
    ),
)  # fmt: skip


class NonSleepingClock(SteppedClock):
    """Stepped clock whose `sleep` does not advance the time."""

    def sleep(self, seconds: float) -> None:
        """Return without advancing the time."""


class KilledError(BaseException):
    """Raised to end a process in the middle of a step."""


class SteppedFuture:
    """Future of an appended record that steps the log instead of blocking."""

    def __init__(self, inner, process: "InstanceProcess") -> None:
        """Wrap the appender's future."""
        self.inner = inner
        self._process = process

    @property
    def done(self) -> bool:
        """Whether the outcome is known."""
        return self.inner.done

    def result(self, timeout_s: float) -> Verdict:
        """Step the log, advancing the time by the time-out if that does not suffice."""
        self._process.sync_log()
        if not self.inner.done and timeout_s:
            self._process.env.clock.advance(timeout_s)
            self._process.sync_log()
        return self.inner.result(0.0)


class SteppedAppender(Appender):
    """Appender without a thread."""

    process: "InstanceProcess"

    def append(self, record) -> SteppedFuture:
        """Queue a record."""
        return SteppedFuture(super().append(record), self.process)

    def withdraw_unsent(self, fut) -> None:
        """Withdraw a record if it was never sent."""
        super().withdraw_unsent(fut.inner if isinstance(fut, SteppedFuture) else fut)


class FaultyClient:
    """Client of a server that loses, delays, duplicates or fails requests."""

    def __init__(self, target: BackendServer, env: "Environment") -> None:
        """Wrap a server in the environment's faults."""
        self.server = target.server
        self._target = target
        self._env = env

    def __getattr__(self, verb: str) -> Callable:
        """Return a method that forwards a request, subject to faults."""

        def send(req):
            """Send one request with the fault that the environment draws."""
            if isinstance(req, Poll):
                req = replace(req, wait_s=0.0)
            call = getattr(self._target, verb)
            match self._env.draw_fault(self.server):
                case "killed":
                    raise KilledError
                case "cut":
                    raise BackendUnreachableError(self.server, "cut")
                case "late":
                    self._env.late.append((call, req))
                    raise BackendUnreachableError(self.server, "late")
                case "lost":
                    call(req)
                    raise BackendUnreachableError(self.server, "the answer was lost")
                case "twice":
                    call(req)
            return call(req)

        return send


class InstanceProcess:
    """Process of an instance whose threads are replaced by explicit steps."""

    def __init__(self, name: str, env: "Environment") -> None:
        """Start a new process of an instance."""
        self.env = env
        self.tasks: list[tuple[Callable, tuple]] = []
        self.watch_steps: list[Callable[[], bool]] = []
        self.session: ZoneSession | None = None
        self.deposed = False
        boot = f"{env.rng.getrandbits(32):08x}"
        self.context = InstanceContext(
            instance=name,
            boot=boot,
            zone=ZONE,
            book=ConfigRegistry(),
            reader=LogReader(env.log, clock=env.clock),
            appender=SteppedAppender(env.log, f"{name}:{boot}", clock=env.clock),
            clients=ClientPool(lambda listed: FaultyClient(env.servers[listed.name], env)),
            ring=EventRing(name, LogicalClock(clock=env.clock)),
            metrics=Metrics(),
            clock=env.clock,
            spawn=lambda function, *args: self.tasks.append((function, args)),
            launch=self._launch,
        )
        self.context.appender.process = self
        self.context.book.offer(1, CONFIG)
        self.context.reader.add_listener(self._apply_record)

    def sync_log(self) -> None:
        """Send pending records to the log and read new ones."""
        self.context.appender.step()
        try:
            self.context.reader.step(wait_s=0.0)
        except LogUnavailableError:
            return

    def claim_zone(self) -> None:
        """Claim the zone on the log, or bump the epoch if the log is unavailable."""
        bumped = self.session is not None and self.session.epoch.bump
        if self.session is not None and not self.deposed and not bumped:
            return
        self.sync_log()
        with self.context.reader.state() as state:
            term = state.zone_term(ZONE).term
        record = ZoneClaimed(ZONE, term + 1, self.context.holder)
        try:
            verdict = self.context.appender.append_and_wait(record, 1.0)
        except NotAppendedError:
            if not bumped:
                self._open(Epoch(term, int(self.env.clock.now())))
            return
        except AppendUnknownError:
            return
        if verdict.ok:
            self._open(Epoch(term + 1))

    def step(self) -> None:
        """Do one randomly chosen step of a thread."""
        choices: list[Callable[[], object]] = [self.sync_log]
        if self.session is not None:
            choices += [self.session.tick, self.session.resolve_starts, *self.watch_steps]
        choices += [self._run_task] * min(len(self.tasks), 4)
        self.env.rng.choice(choices)()
        self._close_if_deposed()

    def _close_if_deposed(self) -> None:
        """Close the session once the zone has a newer holder, as the zone manager would."""
        if self.session is None:
            return
        with self.context.reader.state() as state:
            newer = state.zone_term(ZONE).term > self.session.epoch.term
        if self.deposed or newer:
            self._close()

    def run_all_steps(self) -> None:
        """Do every step once, in a fixed order."""
        self.sync_log()
        for watch_step in list(self.watch_steps):
            watch_step()
        if self.session is not None and not self.deposed:
            self.session.tick()
            while self.tasks:
                self._run_task()
            self.session.resolve_starts()
        self.sync_log()
        self._close_if_deposed()

    def _open(self, epoch: Epoch) -> None:
        """Open a session."""
        self._close()
        self.session = ZoneSession(self.context, epoch, CONFIG, self._on_deposed)
        self.session.start([
            ListedInstance(name, "backend", ZONE, "127.0.0.1", 1, accelerators=8)
            for name in self.env.servers
        ])  # fmt: skip

    def _close(self) -> None:
        """Close the session, if there is one."""
        if self.session is not None:
            self.session.close()
        self.session = None
        self.deposed = False
        self.watch_steps = []
        self.tasks = []

    def _on_deposed(self, session: ZoneSession) -> None:
        """Record that the zone has a newer holder."""
        if session is self.session:
            self.deposed = True

    def _launch(self, name: str, step: Callable[[], bool]) -> None:
        """Keep the step functions of watches; `step` calls the others directly."""
        if name.startswith("watch-"):
            self.watch_steps.append(step)

    def _run_task(self) -> None:
        """Run one randomly chosen spawned task."""
        function, args = self.tasks.pop(self.env.rng.randrange(len(self.tasks)))
        function(*args)

    def _apply_record(self, item) -> None:
        """Apply one record of the log."""
        if item.entry.writer == self.context.holder:
            self.context.appender.confirm(item.entry.seq, item.verdict)
        if self.session is not None:
            self.session.apply_log_record(item)


@dataclass
class Environment:
    """Test environment of emulators, two processes and a history of steps.

    Attributes:
        seed: The seed of the random generator.
        faults_disabled: Whether requests are forwarded without faults.
        late: Delayed requests that are not delivered yet.
        final_outcomes: The first final outcome sent to the caller of each job.
        history: The names of the actions done.
        jobs: The submitted jobs, by ``workspace/key``.
        rebooted: Whether any server has restarted.
    """

    seed: int
    faults_disabled: bool = False
    late: list[tuple[Callable, object]] = field(default_factory=list)
    final_outcomes: dict[str, Outcome] = field(default_factory=dict)
    history: list[str] = field(default_factory=list)
    jobs: dict[str, JobRequest] = field(default_factory=dict)
    rebooted: bool = False

    def __post_init__(self) -> None:
        """Create the emulators and two processes, the first of which claims the zone."""
        self.rng = random.Random(self.seed)
        self.clock = NonSleepingClock(1000.0)
        self.log = LogStore(clock=self.clock)
        self.servers = {
            f"{ZONE}-s{n:03}": BackendServer(f"{ZONE}-s{n:03}", clock=self.clock)
            for n in range(SERVER_COUNT)
        }
        self.cut: set[str] = set()
        self.processes = [InstanceProcess("one", self), InstanceProcess("two", self)]
        self.processes[0].claim_zone()

    def draw_fault(self, server: str) -> str:
        """Return the randomly drawn fault of one request."""
        if self.faults_disabled:
            return "good"
        if server in self.cut:
            return "cut"
        roll = self.rng.random()
        for name, probability in (("killed", 0.004), ("cut", 0.02), ("late", 0.01), ("lost", 0.02),
                                  ("twice", 0.02)):  # fmt: skip
            if roll < probability:
                return name
            roll -= probability
        return "good"

    def step(self) -> None:
        """Do one randomly chosen action."""
        names = ("process",) * 60 + ("time",) * 12 + ("submit",) * 6 + (
            "cancel", "late", "late", "claim", "kill", "cut", "heal", "heal", "log", "pause",
        )  # fmt: skip
        name = self.rng.choice(names)
        self.history.append(name)
        getattr(self, f"do_{name}")()

    def do_process(self) -> None:
        """Do one step of a process."""
        process = self.rng.choice(self.processes)
        self._run_or_restart(process, process.step)

    def do_time(self) -> None:
        """Advance the time by up to 0.3 s."""
        self.clock.advance(self.rng.choice((0.02, 0.1, 0.3)))

    def do_pause(self) -> None:
        """Advance the time by up to 8 s, so that leases lapse."""
        self.clock.advance(self.rng.choice((2.0, 4.5, 8.0)))

    def do_submit(self) -> None:
        """Submit a new job, or repeat an earlier submit."""
        if self.jobs and self.rng.random() < 0.2:
            request = self.rng.choice(list(self.jobs.values()))
        else:
            request = self._new_request()
        self.jobs[str(request.job_id)] = request
        process = self.rng.choice(self.processes)
        kind = CONFIG.kind(request.kind)
        if kind.durable:
            process.context.appender.append(JobAccepted(request, ZONE, kind.idempotent))
            process.sync_log()
        elif process.session is not None:
            self._run_or_restart(
                process, lambda: process.session.submit(request, self._record_outcome, wait_s=3.0)
            )

    def do_cancel(self) -> None:
        """Cancel a durable job."""
        durable = [r for r in self.jobs.values() if CONFIG.kind(r.kind).durable]
        if durable:
            process = self.rng.choice(self.processes)
            process.context.appender.append(CancelRequested(self.rng.choice(durable).job_id))
            self._run_or_restart(process, process.sync_log)

    def do_late(self) -> None:
        """Deliver a delayed request."""
        if self.late:
            call, req = self.late.pop(self.rng.randrange(len(self.late)))
            try:
                call(req)
            except Exception as exc:
                self.history.append(f"late request: {exc}")

    def do_claim(self) -> None:
        """Let a process try to claim the zone."""
        process = self.rng.choice(self.processes)
        self._run_or_restart(process, process.claim_zone)

    def do_kill(self) -> None:
        """Restart a process, half of the time."""
        if self.rng.random() < 0.5:
            self._restart(self.rng.choice(self.processes))

    def do_cut(self) -> None:
        """Make a server unreachable, or restart it without its tasks."""
        name = self.rng.choice(list(self.servers))
        if self.rng.random() < 0.15:
            self.servers[name].reboot()
            self.rebooted = True
        else:
            self.cut.add(name)

    def do_heal(self) -> None:
        """Make all servers reachable and the log available again."""
        self.cut.clear()
        self.log.faults = Faults()

    def do_log(self) -> None:
        """Make the log unavailable, or let it lose its answers."""
        self.log.faults = self.rng.choice((Faults(out=True), Faults(lose_answers=True)))

    def settle(self, rounds: int = 400) -> LogState:
        """End all faults and run until every durable job has ended.

        Returns:
            The state of the log at the end.
        """
        self.faults_disabled = True
        self.do_heal()
        for _, req in self.late:
            self.history.append(f"dropped {req}")
        self.late.clear()
        for _ in range(rounds):
            for process in self.processes:
                process.run_all_steps()
            holders = [process for process in self.processes if process.session is not None]
            if not holders:
                self.processes[0].claim_zone()
            for process in holders:
                if process.session.epoch.bump:
                    process.claim_zone()
            self.clock.advance(0.5)
            state = self.state()
            if all(job.outcome is not None for job in state.jobs.values()):
                break
        return state

    def state(self) -> LogState:
        """Read the log from its start into a new state, as a new process would."""
        reader = LogReader(self.log, clock=self.clock)
        faults, self.log.faults = self.log.faults, Faults()
        reader.catch_up()
        self.log.faults = faults
        with reader.state() as state:
            return state

    def starts(self, job: str) -> list[int]:
        """Return the attempts of a job that servers started, as seen by rank 0."""
        return [
            attempt
            for server in self.servers.values()
            for name, attempt in server.starts
            if name == job
        ]

    def _new_request(self) -> JobRequest:
        """Return a random job."""
        kind = self.rng.choice(CONFIG.kinds)
        size = self.rng.choice([n for n in (1, 2, 4, 8, 16, 24) if n <= kind.max_accelerators])
        return JobRequest(
            workspace=self.rng.choice("ab"),
            kind=kind.name,
            key=f"k{len(self.jobs)}",
            accelerators=size,
            body={"duration_s": self.rng.choice((0.05, 0.4, 2.0))},
        )

    def _record_outcome(self, outcome: Outcome | None) -> None:
        """Record the final outcome that a caller received."""
        if outcome is not None and outcome.final:
            self.final_outcomes.setdefault(str(outcome.job_id), outcome)

    def _run_or_restart(self, process: InstanceProcess, action: Callable[[], object]) -> None:
        """Call a function, and restart the process if that kills it."""
        try:
            action()
        except KilledError:
            self._restart(process)

    def _restart(self, process: InstanceProcess) -> None:
        """Replace a process by a new one of the same instance."""
        position = self.processes.index(process)
        self.processes[position] = InstanceProcess(process.context.instance, self)
