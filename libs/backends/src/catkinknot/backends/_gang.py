"""Start a gang on all of its servers or on none."""

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
"""Reservations, and tasks of a gang that is not complete, lapse after this."""

RUN_TTL_S = 120.0
"""A task that nobody extends stops after this."""


@dataclass(frozen=True)
class GangStart:
    """Describe one start.

    Attributes:
        job_id: The job.
        attempt: The attempt.
        kind: The kind of work.
        body: What the caller asked for.
        placement: The accelerators.
        idempotent: Whether a second run does no harm.
        progress_s: Seconds of work that a checkpoint keeps.
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
    """Say what became of a start.

    Attributes:
        started: Whether the whole gang runs.
        may_run: Whether any part may have begun its work, or may yet.
        server: The server that did not do its part.
        reason: Why not.
    """

    started: bool
    may_run: bool
    server: str = ""
    reason: str = ""


def lease_name(job_id: JobId, attempt: int, epoch: Epoch) -> str:
    """Name the reservations of one start.

    Args:
        job_id: The job.
        attempt: The attempt.
        epoch: The epoch of the holder.

    Returns:
        A name that no other start uses.
    """
    return f"{job_id}#{attempt}@{epoch}"


class GangStarter:
    """Reserve on every server, start on every server, then confirm.

    Members of a gang of several wait, ready, until they are confirmed, and
    until then every reservation and every member lapses by itself after a few
    seconds. A holder that dies, or a message that is lost,
    at any step thus leaves no accelerator taken and no part of a gang running
    for longer than that. Two rivals cannot deadlock either: each takes its
    servers in the order of their names and gives all back on any refusal.
    """

    def __init__(
        self,
        holder: str,
        find: Callable[[str], BackendClient],
        *,
        pool: Executor | None = None,
    ) -> None:
        """Prepare to start gangs.

        Args:
            holder: This instance.
            find: Returns the client of a server.
            pool: Where the members of a gang are asked at the same time;
                without one they are asked in turn.
        """
        self._holder = holder
        self._find = find
        self._pool = pool

    def start(self, gang: GangStart, epoch: Epoch, alive: Callable[[], bool]) -> StartReport:
        """Start a gang.

        Args:
            gang: What to start.
            epoch: The epoch under which this instance holds the servers.
            alive: Whether the holder still believes its leases; it is asked
                again before every step.

        Returns:
            What became of it.
        """
        lease = lease_name(gang.job_id, gang.attempt, epoch)
        parts = sorted(gang.placement.slices, key=lambda part: part.server)
        failure = self._reserve(gang, lease, parts, epoch)
        if failure is not None or not alive():
            self._release(lease, parts, epoch)
            return _report(failure, may_run=False)
        failure = self._start(gang, lease, parts, epoch)
        if failure is not None and len(parts) > 1:
            # No member of a gang works before it is extended.
            self._give_up(lease, parts, epoch)
            return _report(failure, may_run=False)
        if failure is None and len(parts) > 1:
            failure = self._confirm(lease, parts, epoch)
        if failure is None:
            return StartReport(started=True, may_run=True)
        may_run = len(parts) > 1 or not isinstance(failure, BackendRefusedError)
        if gang.idempotent or not may_run:
            self._give_up(lease, parts, epoch)
        return _report(failure, may_run=may_run)

    def _reserve(
        self, gang: GangStart, lease: str, parts: list[Slice], epoch: Epoch
    ) -> BackendError | None:
        """Reserve on one server after the other."""
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
                self._find(part.server).reserve(req)
            except BackendError as exc:
                return exc
        return None

    def _start(
        self, gang: GangStart, lease: str, parts: list[Slice], epoch: Epoch
    ) -> BackendError | None:
        """Start on all servers."""
        servers = tuple(part.server for part in parts)
        ttl_s = RESERVE_TTL_S if len(parts) > 1 else RUN_TTL_S

        def start_one(rank: int) -> None:
            """Start one member."""
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
            self._find(servers[rank]).start(req)

        return self._on_all(start_one, len(parts))

    def _confirm(self, lease: str, parts: list[Slice], epoch: Epoch) -> BackendError | None:
        """Let the members of a complete gang run on."""

        def extend_one(rank: int) -> None:
            """Extend one member."""
            req = Extend(self._holder, epoch, (lease,), RUN_TTL_S)
            self._find(parts[rank].server).extend(req)

        return self._on_all(extend_one, len(parts))

    def _give_up(self, lease: str, parts: list[Slice], epoch: Epoch) -> None:
        """Stop and release every member; what can't be reached lapses."""
        for part in parts:
            self._quietly(part.server, Stop(self._holder, epoch, lease, checkpoint=False))
        self._release(lease, parts, epoch)

    def _release(self, lease: str, parts: list[Slice], epoch: Epoch) -> None:
        """Give up the reservations; what can't be reached lapses."""
        for part in parts:
            self._quietly(part.server, Release(self._holder, epoch, lease))

    def _quietly(self, server: str, req: Stop | Release) -> None:
        """Send a clean-up request whose failure does no harm."""
        client = self._find(server)
        try:
            match req:
                case Stop():
                    client.stop(req)
                case Release():
                    client.release(req)
        except BackendError:
            # The server's own lease ends what this request would have ended.
            return

    def _on_all(self, step: Callable[[int], None], members: int) -> BackendError | None:
        """Do a step on every member and return the first failure.

        A refusal is returned only when no member failed in a worse way.
        """
        failures = []
        if self._pool is None or members == 1:
            for rank in range(members):
                failures += _failure(step, rank)
        else:
            for found in self._pool.map(lambda rank: _failure(step, rank), range(members)):
                failures += found
        failures.sort(key=lambda exc: isinstance(exc, BackendRefusedError))
        return failures[0] if failures else None


def _failure(step: Callable[[int], None], rank: int) -> list[BackendError]:
    """Do a step on one member and return its failure, if any."""
    try:
        step(rank)
    except BackendError as exc:
        return [exc]
    return []


def _report(failure: BackendError | None, *, may_run: bool) -> StartReport:
    """Describe a start that failed."""
    if failure is None:
        return StartReport(False, may_run, "", "the holder's lease has lapsed")
    return StartReport(False, may_run, getattr(failure, "server", ""), failure.message)
