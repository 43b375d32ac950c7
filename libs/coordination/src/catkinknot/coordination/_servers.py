"""Interface of the backend servers: listings, orders and answers."""

from dataclasses import dataclass, replace
from enum import Enum
from math import inf
from typing import Protocol

from catkinknot.jobs import Resources, RunOutcome

__all__ = [
    "EndRow",
    "HoldAnswer",
    "Listing",
    "OrderOutcome",
    "OrderReply",
    "RunRow",
    "ServerCalls",
    "ServerListing",
    "StartOrder",
    "StopOrder",
    "name_lifetime",
]


@dataclass(frozen=True, slots=True)
class Listing:
    """Self-description of one lifetime of a backend server.

    Attributes:
        lifetime: Identity of the server and its start time; each restart begins
            another lifetime.
        id: Identity of the server.
        started_at_ms: Start time, in milliseconds since 1970.
        address: Address as ``ip:port``.
        service: Pool that the server belongs to.
        zone: Availability zone.
        rack: Rack.
        labels: All labels of the server.
        capacity: Total resources of the server.
        draining: Whether the server is about to shut down.
        clock_ms: Clock of the server when it published the listing.
        remaining_ms: Minimum time from `clock_ms` until shutdown, while draining.
    """

    lifetime: str
    id: str
    started_at_ms: int
    address: str
    service: str
    zone: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    draining: bool
    clock_ms: int
    remaining_ms: int = 0

    def other_lifetime(self, started_at_ms: int, clock_ms: int) -> "Listing":
        """Return a provisional listing of another lifetime that answers at the address.

        Labels and capacity are those of this lifetime; the other one may be of
        another kind.
        """
        return replace(
            self,
            lifetime=name_lifetime(self.id, started_at_ms),
            started_at_ms=started_at_ms,
            clock_ms=clock_ms,
            draining=False,
            remaining_ms=0,
        )


def name_lifetime(server_id: str, started_at_ms: int) -> str:
    """Return the identity of one lifetime of a server."""
    return f"{server_id}@{started_at_ms}"


class ServerListing(Protocol):
    """Source of the listings that servers publish."""

    def list(self) -> dict[str, Listing]:
        """Return the listed servers by identity; raises a `StoreError`."""


class OrderOutcome(Enum):
    """Outcome of an order or a lease renewal."""

    DONE = "done"
    FENCED = "fenced"
    OLD_RUN = "old run"
    TOO_LATE = "too late"
    NO_ROOM = "no room"
    NO_TICKET = "no ticket"
    UNHEALTHY = "unhealthy"
    OTHER_LIFETIME = "other lifetime"
    EXPIRED = "expired, not sent"
    INVALID = "invalid"
    NO_ANSWER = "no answer"


@dataclass(frozen=True, slots=True)
class OrderReply:
    """Answer to an order.

    Attributes:
        outcome: Outcome of the order.
        clock_ms: Clock of the server, 0 if not reported.
        started_at_ms: Start time of the lifetime that answered, 0 if unknown.
    """

    outcome: OrderOutcome
    clock_ms: int = 0
    started_at_ms: int = 0


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start a task.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        payload: Payload of the job, as its caller submitted it.
        until_ms: End of the lease, on the server's clock.
        token: Fencing token: the epoch of the leader.
        checkpoint: Checkpoint to resume from, empty for none.
        send_by_s: When the order must have been sent, on this instance's clock.
    """

    task: str
    run: int
    payload: str
    until_ms: int
    token: int
    checkpoint: str = ""
    send_by_s: float = inf


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Order to stop a run and to refuse any later start of it."""

    task: str
    run: int
    token: int


@dataclass(frozen=True, slots=True)
class RunRow:
    """Run that is in progress on a server.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        checkpoint: Latest checkpoint.
        percent: Progress, or for a service its readiness.
        load_metric: Processor usage, or for a service the response time that its
            users see.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    load_metric: float = 0.0


@dataclass(frozen=True, slots=True)
class EndRow:
    """End of a run, as listed by its server.

    Attributes:
        number: Position in the server's sequence of ends.
        task: Name of the task.
        run: Number of the run.
        how: Outcome of the run.
        checkpoint: Last checkpoint, empty for none.
    """

    number: int
    task: str
    run: int
    how: RunOutcome
    checkpoint: str


@dataclass(frozen=True, slots=True)
class HoldAnswer:
    """Answer to a lease renewal: active runs and the ends not yet acknowledged."""

    reply: OrderReply
    running: tuple[RunRow, ...] = ()
    ended: tuple[EndRow, ...] = ()


class ServerCalls(Protocol):
    """Client for backend servers; no method raises when a server fails."""

    def start(self, server: Listing, order: StartOrder) -> OrderReply:
        """Send an order to start a task; one that has expired is not sent."""

    def stop(self, server: Listing, order: StopOrder) -> OrderReply:
        """Send an order to stop a run."""

    def hold(
        self, server: Listing, *, token: int, seen_end: int, until_ms: int, wait_s: float
    ) -> HoldAnswer:
        """Renew the lease, acknowledge ends up to `seen_end`, and list runs and ends.

        Args:
            server: The server.
            token: Fencing token: the epoch of the leader.
            seen_end: Number of the last end that the store has recorded.
            until_ms: End of the lease on the server's clock, 0 to not renew it.
            wait_s: How long the server may wait for an end before it answers.
        """

    def close_connections(self, server: Listing) -> None:
        """Close all connections to a server."""
