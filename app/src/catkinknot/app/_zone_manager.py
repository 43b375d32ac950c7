"""Run a zone session while this instance holds its availability zone."""

import threading
from collections.abc import Callable

from catkinknot.backends import Epoch
from catkinknot.journal import part_logger
from catkinknot.membership import MembershipView, ZoneLease
from catkinknot.model import JobId, Outcome, ResultCode
from catkinknot.platformlog import AppliedEntry, ConfigInForce

from ._context import InstanceContext
from ._messages import AskJob, CancelJob, JobAnswer, NotHolder, SubmitJob
from ._session import SessionStatus, ZoneSession

__all__ = ["ZoneManager"]

Send = Callable[[JobAnswer | NotHolder], None]

_CANCEL_WAIT_S = 1.0

log = part_logger("zone")


class ZoneManager:
    """Manager of the session of this instance's zone.

    It opens a session when the instance becomes the holder of the zone and
    closes it when the zone is lost.
    """

    def __init__(self, context: InstanceContext, view: MembershipView) -> None:
        """Create a manager that does not hold the zone.

        Args:
            context: The context of this instance.
            view: The listed instances and servers.
        """
        self._context = context
        self._view = view
        self._lock = threading.Lock()
        self._session: ZoneSession | None = None
        self._zone_lease: ZoneLease | None = None
        self._held_since_s = 0.0
        self._draining = False
        self._on_deposed: Callable[[], None] = lambda: None
        self._on_changed: Callable[[], None] = lambda: None

    def on_deposed(self, deposed: Callable[[], None]) -> None:
        """Set the function to call when a server reports a newer holder."""
        self._on_deposed = deposed

    def on_changed(self, changed: Callable[[], None]) -> None:
        """Set the function to call when the zone was won or lost."""
        self._on_changed = changed

    def zone_lease(self) -> ZoneLease | None:
        """Return the lease on the zone, None while there is no session."""
        with self._lock:
            return self._zone_lease if self._session is not None else None

    def held_since_s(self) -> float:
        """Return when this instance last won the zone, in seconds since 1970."""
        return self._held_since_s

    def set_holding(self, zone_lease: ZoneLease | None) -> None:
        """Open or close the session after the zone was won or lost.

        Args:
            zone_lease: The new lease on the zone, None if the zone was lost.
        """
        current = self._context.book.current()
        with self._lock:
            old, self._session = self._session, None
            self._zone_lease = zone_lease
        if old is not None:
            old.close()
        if zone_lease is None:
            self._context.ring.add("zone", "zone.lost", zone=self._context.zone)
            log.info("This instance no longer holds zone {}.", self._context.zone)
            self._on_changed()
            return
        self._held_since_s = self._context.clock.wall()
        self._context.ring.add("zone", "zone.held", zone=self._context.zone, epoch=str(zone_lease))
        log.info("This instance holds zone {} under epoch {}.", self._context.zone, zone_lease)
        if current is not None:
            self._open(zone_lease, current)
        self._on_changed()

    def apply_config(self, current: ConfigInForce) -> None:
        """Apply a configuration, and open the session if it waited for one."""
        with self._lock:
            session, zone_lease = self._session, self._zone_lease
        if session is not None:
            session.configure(current.config)
        elif zone_lease is not None:
            self._open(zone_lease, current)

    def refresh_servers(self) -> None:
        """Pass the zone's listed servers to the session."""
        session = self._current_session()
        if session is not None:
            session.refresh_servers(self._view.backends(self._context.zone))

    def apply_log_record(self, applied: AppliedEntry) -> None:
        """Pass a log record to the session."""
        session = self._current_session()
        if session is not None:
            session.apply_log_record(applied)

    def schedule_from_log(self, job_id: JobId) -> None:
        """Schedule here a job on the log whose own zone has no holder."""
        session = self._current_session()
        if session is not None:
            session.schedule_from_log(job_id)

    def drain(self) -> None:
        """Start no more jobs."""
        self._draining = True
        session = self._current_session()
        if session is not None:
            session.drain()

    def busy(self) -> bool:
        """Return whether any job is unfinished here."""
        session = self._current_session()
        return session is not None and session.busy()

    def status(self) -> SessionStatus | None:
        """Return the status of the zone, None while there is no session."""
        session = self._current_session()
        return session.status() if session is not None else None

    def handle(self, message: SubmitJob | AskJob | CancelJob, send: Send) -> None:
        """Handle a job request for the zone.

        Args:
            message: The request.
            send: Sends the answer; may be called after this method returns.
        """
        session = self._current_session()
        if session is None:
            send(NotHolder())
            return

        def answer(outcome: Outcome | None) -> None:
            """Send the outcome, or that this instance is not the holder."""
            send(NotHolder() if outcome is None else JobAnswer(outcome))

        match message:
            case SubmitJob(request=request, wait_s=wait_s, again=again):
                session.submit(request, answer, wait_s, again=again)
            case AskJob(job=job, wait_s=wait_s):
                session.ask(job, _answer_or_unknown(job, send), wait_s)
            case CancelJob(job=job):
                session.cancel(job)
                session.ask(job, _answer_or_unknown(job, send), _CANCEL_WAIT_S)

    def _current_session(self) -> ZoneSession | None:
        """Return the current session, or None."""
        with self._lock:
            return self._session

    def _open(self, zone_lease: ZoneLease, current: ConfigInForce) -> None:
        """Open a session, unless the lease has changed or a session was opened meanwhile."""
        epoch = Epoch(zone_lease.term, zone_lease.bump)
        session = ZoneSession(self._context, epoch, current.config, self._session_deposed)
        with self._lock:
            if self._zone_lease != zone_lease or self._session is not None:
                return
            self._session = session
        session.start(self._view.backends(self._context.zone))
        if self._draining:
            session.drain()

    def _session_deposed(self, session: ZoneSession) -> None:
        """Report a newer holder, unless the session was replaced already."""
        if self._current_session() is session:
            self._on_deposed()


def _answer_or_unknown(job: JobId, send: Send) -> Callable[[Outcome | None], None]:
    """Return a callback that sends the outcome, or UNKNOWN_JOB if there is none."""

    def answer(outcome: Outcome | None) -> None:
        """Send the outcome, or UNKNOWN_JOB."""
        unknown = Outcome(
            job.workspace, job.key, ResultCode.UNKNOWN_JOB, "this scheduler does not know the job"
        )
        send(JobAnswer(outcome or unknown))

    return answer
