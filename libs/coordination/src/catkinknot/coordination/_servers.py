"""Say what backend servers are told, and what they answer."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from catkinknot.jobs import Ended, Resources

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
]


@dataclass(frozen=True, slots=True)
class Listing:
    """Describe one lifetime of a server, as it says itself.

    Attributes:
        lifetime: Its identity and start; a restart makes another lifetime.
        id: Its identity.
        started_at_ms: Its start, since 1970.
        address: Its ``ip:port``.
        service: The pool it serves.
        zone: Its availability zone.
        rack: Its rack.
        labels: All its labels.
        capacity: What it has.
        draining: Whether it is about to leave.
        clock_ms: Its own clock when it wrote this.
        remaining_ms: How long it serves at least from then on, while it drains.
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


class ServerListing(Protocol):
    """List the servers that report themselves."""

    def list(self) -> dict[str, Listing]:
        """Return the listed servers by identity; raises a `StoreError`."""


class OrderOutcome(Enum):
    """Name what became of an order."""

    DONE = "done"
    FENCED = "fenced"
    OLD_RUN = "old run"
    TOO_LATE = "too late"
    NO_ROOM = "no room"
    NO_TICKET = "no ticket"
    UNHEALTHY = "unhealthy"
    OTHER_LIFETIME = "other lifetime"
    INVALID = "invalid"
    NO_ANSWER = "no answer"


@dataclass(frozen=True, slots=True)
class OrderReply:
    """Hold the answer to an order.

    Attributes:
        outcome: What became of it.
        clock_ms: The server's clock, 0 if it did not say.
        started_at_ms: The start of the lifetime that answered, 0 if unknown.
    """

    outcome: OrderOutcome
    clock_ms: int = 0
    started_at_ms: int = 0


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Tell a server to start a task.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        payload: What its caller handed in.
        until_ms: End of the lease, on the server's clock.
        token: The leader's epoch.
        checkpoint: Progress to resume from, empty for none.
    """

    task: str
    run: int
    payload: str
    until_ms: int
    token: int
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Tell a server to stop a run, and never to start it again."""

    task: str
    run: int
    token: int


@dataclass(frozen=True, slots=True)
class RunRow:
    """Describe a run that a server works on.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        checkpoint: Latest saved progress.
        percent: Progress, or readiness of a service.
        load_metric: Processor in use, or response time of a service's users.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    load_metric: float = 0.0


@dataclass(frozen=True, slots=True)
class EndRow:
    """Describe the end of a run.

    Attributes:
        number: Position in the server's list of ends.
        task: Name of the task.
        run: Number of the run.
        how: How it ended.
        checkpoint: Progress that was saved.
    """

    number: int
    task: str
    run: int
    how: Ended
    checkpoint: str


@dataclass(frozen=True, slots=True)
class HoldAnswer:
    """Hold what a server says when its lease is renewed."""

    reply: OrderReply
    running: tuple[RunRow, ...] = ()
    ended: tuple[EndRow, ...] = ()


class ServerCalls(Protocol):
    """Give orders to servers; no method raises for a server's failure."""

    def start(self, server: Listing, order: StartOrder) -> OrderReply:
        """Start a task."""

    def stop(self, server: Listing, order: StopOrder) -> OrderReply:
        """Stop a run."""

    def hold(
        self, server: Listing, *, token: int, seen_end: int, until_ms: int, wait_s: float
    ) -> HoldAnswer:
        """Renew the lease, forget ends up to one, and ask what runs."""

    def close_connections(self, server: Listing) -> None:
        """Close the connections to a server."""
