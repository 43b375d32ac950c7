"""Drive real sessions step by step against stand-ins, with faults on the way."""

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
SERVERS = 3

CONFIG = Configuration(
    deployment="stepped",
    zones=(Zone(ZONE, SERVERS, 8, SERVERS),),
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


class StillClock(SteppedClock):
    """Tell stepped time; nobody's wait moves it."""

    def sleep(self, seconds: float) -> None:
        """Return at once."""


class KilledError(BaseException):
    """End an actor in the middle of what it does."""


class SteppedFuture:
    """Wait for a record by moving the log along instead of blocking."""

    def __init__(self, inner, actor: "Actor") -> None:
        """Wrap the real future."""
        self.inner = inner
        self._actor = actor

    @property
    def done(self) -> bool:
        """Whether the outcome is known."""
        return self.inner.done

    def result(self, timeout_s: float) -> Verdict:
        """Move the log along; time passes when that does not help."""
        self._actor.move_log()
        if not self.inner.done and timeout_s:
            self._actor.world.clock.advance(timeout_s)
            self._actor.move_log()
        return self.inner.result(0.0)


class SteppedAppender(Appender):
    """Append without a thread."""

    actor: "Actor"

    def append(self, record) -> SteppedFuture:
        """Queue a record."""
        return SteppedFuture(super().append(record), self.actor)

    def take_back(self, fut) -> None:
        """Withdraw a record if it was never sent."""
        super().take_back(fut.inner if isinstance(fut, SteppedFuture) else fut)


class Proxy:
    """Stand between an actor and a server and lose, delay or cut requests."""

    def __init__(self, target: BackendServer, world: "World") -> None:
        """Keep the target."""
        self.server = target.server
        self._target = target
        self._world = world

    def __getattr__(self, verb: str) -> Callable:
        """Return a method that passes a request on, or not."""

        def send(req):
            """Send one request as the dice say."""
            if isinstance(req, Poll):
                req = replace(req, wait_s=0.0)
            call = getattr(self._target, verb)
            match self._world.fate(self.server):
                case "killed":
                    raise KilledError
                case "cut":
                    raise BackendUnreachableError(self.server, "cut")
                case "late":
                    self._world.late.append((call, req))
                    raise BackendUnreachableError(self.server, "late")
                case "lost":
                    call(req)
                    raise BackendUnreachableError(self.server, "the answer was lost")
                case "twice":
                    call(req)
            return call(req)

        return send


class Actor:
    """Run one instance's share of the work, without threads."""

    def __init__(self, name: str, world: "World") -> None:
        """Start a new run of an instance."""
        self.world = world
        self.tasks: list[tuple[Callable, tuple]] = []
        self.loops: list[Callable[[], bool]] = []
        self.session: ZoneSession | None = None
        self.deposed = False
        boot = f"{world.rng.getrandbits(32):08x}"
        self.context = InstanceContext(
            instance=name,
            boot=boot,
            zone=ZONE,
            book=ConfigRegistry(),
            reader=LogReader(world.log, clock=world.clock),
            appender=SteppedAppender(world.log, f"{name}:{boot}", clock=world.clock),
            clients=ClientPool(lambda listed: Proxy(world.servers[listed.name], world)),
            ring=EventRing(name, LogicalClock(clock=world.clock)),
            metrics=Metrics(),
            clock=world.clock,
            spawn=lambda function, *args: self.tasks.append((function, args)),
            launch=self._launch,
        )
        self.context.appender.actor = self
        self.context.book.offer(1, CONFIG)
        self.context.reader.listen(self._applied)

    def move_log(self) -> None:
        """Send what waits and read what is new."""
        self.context.appender.step()
        try:
            self.context.reader.step(wait_s=0.0)
        except LogUnavailableError:
            return

    def take_zone(self) -> None:
        """Claim the zone on the log, or without it when it is out."""
        bumped = self.session is not None and self.session.epoch.bump
        if self.session is not None and not self.deposed and not bumped:
            return
        self.move_log()
        with self.context.reader.state() as state:
            term = state.zone_term(ZONE).term
        record = ZoneClaimed(ZONE, term + 1, self.context.holder)
        try:
            verdict = self.context.appender.append_and_wait(record, 1.0)
        except NotAppendedError:
            if not bumped:
                self._open(Epoch(term, int(self.world.clock.now())))
            return
        except AppendUnknownError:
            return
        if verdict.ok:
            self._open(Epoch(term + 1))

    def step(self) -> None:
        """Do one of the things that threads would do."""
        choices: list[Callable[[], object]] = [self.move_log]
        if self.session is not None:
            choices += [self.session.tick, self.session.resolve_starts, *self.loops]
        choices += [self._run_task] * min(len(self.tasks), 4)
        self.world.rng.choice(choices)()
        self._give_up_if_deposed()

    def _give_up_if_deposed(self) -> None:
        """Close the session when it is over, as the keeper would."""
        if self.session is None:
            return
        with self.context.reader.state() as state:
            newer = state.zone_term(ZONE).term > self.session.epoch.term
        if self.deposed or newer:
            self._close()

    def drain_steps(self) -> None:
        """Do everything once, in order."""
        self.move_log()
        for loop in list(self.loops):
            loop()
        if self.session is not None and not self.deposed:
            self.session.tick()
            while self.tasks:
                self._run_task()
            self.session.resolve_starts()
        self.move_log()
        self._give_up_if_deposed()

    def _open(self, epoch: Epoch) -> None:
        """Open a session."""
        self._close()
        self.session = ZoneSession(self.context, epoch, CONFIG, self._on_deposed)
        self.session.start([
            ListedInstance(name, "backend", ZONE, "127.0.0.1", 1, accelerators=8)
            for name in self.world.servers
        ])  # fmt: skip

    def _close(self) -> None:
        """Close the session, if there is one."""
        if self.session is not None:
            self.session.close()
        self.session = None
        self.deposed = False
        self.loops = []
        self.tasks = []

    def _on_deposed(self, session: ZoneSession) -> None:
        """Take note that the zone is lost."""
        if session is self.session:
            self.deposed = True

    def _launch(self, name: str, step: Callable[[], bool]) -> None:
        """Keep the steps of watches; the others are stepped directly."""
        if name.startswith("watch-"):
            self.loops.append(step)

    def _run_task(self) -> None:
        """Run one of the steps that were spawned."""
        function, args = self.tasks.pop(self.world.rng.randrange(len(self.tasks)))
        function(*args)

    def _applied(self, item) -> None:
        """Take one record of the log."""
        if item.entry.writer == self.context.holder:
            self.context.appender.seen(item.entry.seq, item.verdict)
        if self.session is not None:
            self.session.apply_log_record(item)


@dataclass
class World:
    """Hold the stand-ins, the actors and a record of what happened.

    Attributes:
        seed: Where chance comes from.
        calm: Whether faults are off.
    """

    seed: int
    calm: bool = False
    late: list[tuple[Callable, object]] = field(default_factory=list)
    told: dict[str, Outcome] = field(default_factory=dict)
    history: list[str] = field(default_factory=list)
    jobs: dict[str, JobRequest] = field(default_factory=dict)
    rebooted: bool = False

    def __post_init__(self) -> None:
        """Build the stand-ins and two actors."""
        self.rng = random.Random(self.seed)
        self.clock = StillClock(1000.0)
        self.log = LogStore(clock=self.clock)
        self.servers = {
            f"{ZONE}-s{n:03}": BackendServer(f"{ZONE}-s{n:03}", clock=self.clock)
            for n in range(SERVERS)
        }
        self.cut: set[str] = set()
        self.actors = [Actor("one", self), Actor("two", self)]
        self.actors[0].take_zone()

    def fate(self, server: str) -> str:
        """Decide what becomes of one request."""
        if self.calm:
            return "good"
        if server in self.cut:
            return "cut"
        dice = self.rng.random()
        for name, part in (("killed", 0.004), ("cut", 0.02), ("late", 0.01), ("lost", 0.02),
                           ("twice", 0.02)):  # fmt: skip
            if dice < part:
                return name
            dice -= part
        return "good"

    def step(self) -> None:
        """Do one random thing."""
        names = ("actor",) * 60 + ("time",) * 12 + ("submit",) * 6 + (
            "cancel", "late", "late", "claim", "kill", "cut", "heal", "heal", "log", "pause",
        )  # fmt: skip
        name = self.rng.choice(names)
        self.history.append(name)
        getattr(self, f"do_{name}")()

    def do_actor(self) -> None:
        """Let an actor take a step."""
        actor = self.rng.choice(self.actors)
        self._guarded(actor, actor.step)

    def do_time(self) -> None:
        """Let a little time pass."""
        self.clock.advance(self.rng.choice((0.02, 0.1, 0.3)))

    def do_pause(self) -> None:
        """Let so much time pass that leases lapse."""
        self.clock.advance(self.rng.choice((2.0, 4.5, 8.0)))

    def do_submit(self) -> None:
        """Submit a job, or an earlier one once more."""
        if self.jobs and self.rng.random() < 0.2:
            request = self.rng.choice(list(self.jobs.values()))
        else:
            request = self._new_request()
        self.jobs[str(request.job_id)] = request
        actor = self.rng.choice(self.actors)
        kind = CONFIG.kind(request.kind)
        if kind.durable:
            actor.context.appender.append(JobAccepted(request, ZONE, kind.idempotent))
            actor.move_log()
        elif actor.session is not None:
            self._guarded(
                actor, lambda: actor.session.submit(request, self._take_answer, wait_s=3.0)
            )

    def do_cancel(self) -> None:
        """Cancel a job."""
        durable = [r for r in self.jobs.values() if CONFIG.kind(r.kind).durable]
        if durable:
            actor = self.rng.choice(self.actors)
            actor.context.appender.append(CancelRequested(self.rng.choice(durable).job_id))
            self._guarded(actor, actor.move_log)

    def do_late(self) -> None:
        """Deliver a request that was on its way for long."""
        if self.late:
            call, req = self.late.pop(self.rng.randrange(len(self.late)))
            try:
                call(req)
            except Exception as exc:
                self.history.append(f"late request: {exc}")

    def do_claim(self) -> None:
        """Let an actor try to take the zone."""
        actor = self.rng.choice(self.actors)
        self._guarded(actor, actor.take_zone)

    def do_kill(self) -> None:
        """Replace an actor by a new run of it."""
        if self.rng.random() < 0.5:
            self._kill(self.rng.choice(self.actors))

    def do_cut(self) -> None:
        """Cut a server off, or replace it by an empty one."""
        name = self.rng.choice(list(self.servers))
        if self.rng.random() < 0.15:
            self.servers[name].reboot()
            self.rebooted = True
        else:
            self.cut.add(name)

    def do_heal(self) -> None:
        """Bring everything back that was cut off."""
        self.cut.clear()
        self.log.faults = Faults()

    def do_log(self) -> None:
        """Let the log be out, or lose its answers."""
        self.log.faults = self.rng.choice((Faults(out=True), Faults(lose_answers=True)))

    def settle(self, rounds: int = 400) -> LogState:
        """End all faults and run on until every lasting job has ended.

        Returns:
            The state of the log at the end.
        """
        self.calm = True
        self.do_heal()
        for _, req in self.late:
            self.history.append(f"dropped {req}")
        self.late.clear()
        for _ in range(rounds):
            for actor in self.actors:
                actor.drain_steps()
            holders = [actor for actor in self.actors if actor.session is not None]
            if not holders:
                self.actors[0].take_zone()
            for actor in holders:
                if actor.session.epoch.bump:
                    actor.take_zone()
            self.clock.advance(0.5)
            state = self.state()
            if all(job.outcome is not None for job in state.jobs.values()):
                break
        return state

    def state(self) -> LogState:
        """Fold the log anew, as a process that has just started would."""
        reader = LogReader(self.log, clock=self.clock)
        faults, self.log.faults = self.log.faults, Faults()
        reader.boot()
        self.log.faults = faults
        with reader.state() as state:
            return state

    def starts(self, job: str) -> list[int]:
        """Return the attempts of a job that were carried out, by rank 0."""
        return [
            attempt
            for server in self.servers.values()
            for name, attempt in server.starts
            if name == job
        ]

    def _new_request(self) -> JobRequest:
        """Make up a job."""
        kind = self.rng.choice(CONFIG.kinds)
        size = self.rng.choice([n for n in (1, 2, 4, 8, 16, 24) if n <= kind.max_accelerators])
        return JobRequest(
            workspace=self.rng.choice("ab"),
            kind=kind.name,
            key=f"k{len(self.jobs)}",
            accelerators=size,
            body={"duration_s": self.rng.choice((0.05, 0.4, 2.0))},
        )

    def _take_answer(self, outcome: Outcome | None) -> None:
        """Keep the final answer that a caller got."""
        if outcome is not None and outcome.final:
            self.told.setdefault(str(outcome.job_id), outcome)

    def _guarded(self, actor: Actor, action: Callable[[], object]) -> None:
        """Do something, and replace the actor when that kills it."""
        try:
            action()
        except KilledError:
            self._kill(actor)

    def _kill(self, actor: Actor) -> None:
        """Replace an actor by a new run of the same instance."""
        place = self.actors.index(actor)
        self.actors[place] = Actor(actor.context.instance, self)
