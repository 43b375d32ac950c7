"""Atomic start of a gang on all of its servers."""

from collections.abc import Callable
from concurrent.futures import Executor
from dataclasses import dataclass
from typing import Any

from catkinknot.model import JobId
from catkinknot.placement import Placement, Slice

from ._client import BackendClient
from ._protocol import Epoch, Extend, Release, Reserve, Start, Stop
from .exceptions import BackendError, BackendRefusedError

__all__ = ["GangStart", "GangStarter", "StartReport", "lease_name"]

RESERVE_TTL_S = 4.0
"""Time to live of reservations, and of started tasks of a gang that is not yet confirmed."""

RUN_TTL_S = 120.0
"""Time to live of a running task that is not extended."""


@dataclass(frozen=True)
class GangStart:
    """Gang that is to be started.

    Attributes:
        job_id: The job.
        attempt: The attempt's number.
        kind: The kind of work.
        body: The body of the caller's request.
        placement: The accelerators on each server.
        idempotent: Whether the job may run more than once.
        progress_s: Seconds of work saved in the last checkpoint.
    """

    job_id: JobId
    attempt: int
    kind: str
    body: dict[str, Any]
    placement: Placement
    idempotent: bool
    progress_s: float = 0.0


@dataclass(frozen=True)
class StartReport:
    """Result of a gang start.

    Attributes:
        started: Whether the whole gang runs.
        may_run: Whether any member may have begun its work, or still may.
        server: The server that caused the failure, empty if the start
            succeeded or if the holder's leases had expired.
        reason: Why the start failed, empty if it succeeded.
    """

    started: bool
    may_run: bool
    server: str = ""
    reason: str = ""


def lease_name(job_id: JobId, attempt: int, epoch: Epoch) -> str:
    """Return the name of the reservations of one start.

    Args:
        job_id: The job.
        attempt: The attempt's number.
        epoch: The epoch of the holder.

    Returns:
        A name that no other start uses.
    """
    return f"{job_id}#{attempt}@{epoch}"


class GangStarter:
    """Starts gangs in three phases: reserve, start and confirm.

    In a gang of several members, each started member waits in the phase
    ``ready`` until it is confirmed. Until then every reservation and member
    expires by itself after `RESERVE_TTL_S`. A holder that crashes, or a
    message that is lost, at any phase leaves no accelerator allocated and no
    part of a gang running for longer than that. Concurrent starts cannot
    deadlock: each reserves its servers in the order of their names and
    releases all of them on any refusal.
    """

    def __init__(
        self,
        holder: str,
        find_client: Callable[[str], BackendClient],
        *,
        pool: Executor | None = None,
    ) -> None:
        """Set the holder and the clients.

        Args:
            holder: This instance and its lifetime, as ``instance:boot``.
            find_client: Returns the client of a server.
            pool: Executor that sends the requests of a gang's members
                concurrently; without one they are sent one after another.
        """
        self._holder = holder
        self._find_client = find_client
        self._pool = pool

    def start(self, gang: GangStart, epoch: Epoch, leases_valid: Callable[[], bool]) -> StartReport:
        """Start a gang on all of its servers or on none.

        Args:
            gang: The gang to start.
            epoch: The epoch under which this instance holds the servers.
            leases_valid: Returns whether this instance's leases on the
                servers are still valid; called between the reservations and
                the starts.

        Returns:
            The result.
        """
        lease = lease_name(gang.job_id, gang.attempt, epoch)
        parts = sorted(gang.placement.slices, key=lambda part: part.server)
        failure = self._reserve(gang, lease, parts, epoch)
        if failure is not None or not leases_valid():
            self._release(lease, parts, epoch)
            return _report(failure, may_run=False)
        failure = self._start(gang, lease, parts, epoch)
        if failure is not None and len(parts) > 1:
            # No member of a larger gang begins its work before it is extended.
            self._abort(lease, parts, epoch)
            return _report(failure, may_run=False)
        if failure is None and len(parts) > 1:
            failure = self._confirm(lease, parts, epoch)
        if failure is None:
            return StartReport(started=True, may_run=True)
        may_run = len(parts) > 1 or not isinstance(failure, BackendRefusedError)
        if gang.idempotent or not may_run:
            self._abort(lease, parts, epoch)
        return _report(failure, may_run=may_run)

    def _reserve(
        self, gang: GangStart, lease: str, parts: list[Slice], epoch: Epoch
    ) -> BackendError | None:
        """Reserve the accelerators, one server after another."""
        for part in parts:
            req = Reserve(
                holder=self._holder,
                epoch=epoch,
                lease=lease,
                job=str(gang.job_id),
                attempt=gang.attempt,
                mask=part.mask,
                ttl_s=RESERVE_TTL_S,
            )
            try:
                self._find_client(part.server).reserve(req)
            except BackendError as exc:
                return exc
        return None

    def _start(
        self, gang: GangStart, lease: str, parts: list[Slice], epoch: Epoch
    ) -> BackendError | None:
        """Start the members on all servers."""
        servers = tuple(part.server for part in parts)
        ttl_s = RESERVE_TTL_S if len(parts) > 1 else RUN_TTL_S

        def start_member(rank: int) -> None:
            """Start the member of one rank."""
            req = Start(
                holder=self._holder,
                epoch=epoch,
                lease=lease,
                ttl_s=ttl_s,
                rank=rank,
                members=len(parts),
                servers=servers,
                kind=gang.kind,
                body=gang.body,
                progress_s=gang.progress_s,
            )
            self._find_client(servers[rank]).start(req)

        return self._run_on_all(start_member, len(parts))

    def _confirm(self, lease: str, parts: list[Slice], epoch: Epoch) -> BackendError | None:
        """Extend all members of a completely started gang."""

        def extend_member(rank: int) -> None:
            """Extend the member of one rank."""
            req = Extend(self._holder, epoch, (lease,), RUN_TTL_S)
            self._find_client(parts[rank].server).extend(req)

        return self._run_on_all(extend_member, len(parts))

    def _abort(self, lease: str, parts: list[Slice], epoch: Epoch) -> None:
        """Stop and release every member; those on unreachable servers expire."""
        for part in parts:
            self._send_best_effort(part.server, Stop(self._holder, epoch, lease, checkpoint=False))
        self._release(lease, parts, epoch)

    def _release(self, lease: str, parts: list[Slice], epoch: Epoch) -> None:
        """Release the reservations; those on unreachable servers expire."""
        for part in parts:
            self._send_best_effort(part.server, Release(self._holder, epoch, lease))

    def _send_best_effort(self, server: str, req: Stop | Release) -> None:
        """Send a clean-up request and ignore its failure."""
        client = self._find_client(server)
        try:
            match req:
                case Stop():
                    client.stop(req)
                case Release():
                    client.release(req)
        except BackendError:
            # The reservation or task expires on the server without this request.
            return

    def _run_on_all(self, request: Callable[[int], None], members: int) -> BackendError | None:
        """Send a request for every member and return the first failure.

        A refusal is returned only if no other kind of failure occurred.
        """
        failures = []
        if self._pool is None or members == 1:
            for rank in range(members):
                failures += _capture_failure(request, rank)
        else:
            for captured in self._pool.map(
                lambda rank: _capture_failure(request, rank), range(members)
            ):
                failures += captured
        failures.sort(key=lambda exc: isinstance(exc, BackendRefusedError))
        return failures[0] if failures else None


def _capture_failure(request: Callable[[int], None], rank: int) -> list[BackendError]:
    """Send a request for one member and return its failure, if any."""
    try:
        request(rank)
    except BackendError as exc:
        return [exc]
    return []


def _report(failure: BackendError | None, *, may_run: bool) -> StartReport:
    """Return the result of a failed start."""
    if failure is None:
        return StartReport(False, may_run, "", "the holder's lease has expired")
    return StartReport(False, may_run, getattr(failure, "server", ""), failure.message)
