"""Interface of the shared store, its topics and its records."""

from dataclasses import dataclass
from typing import Protocol

__all__ = ["JOBS", "PEERS", "RUNS", "Batch", "Fence", "Record", "Snapshot", "Store"]

JOBS = "keyed.jobs"
"""Topic of jobs, cancellations, phases and the leader record."""

RUNS = "keyed.runs"
"""Topic of the task states that the leader records for its successors."""

PEERS = "keyed.peers"
"""Topic of the relay addresses of all instances."""


@dataclass(frozen=True, slots=True)
class Record:
    """Record of a keyed topic; an empty value deletes the key."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Fence:
    """Fencing data of an append by the leader.

    Attributes:
        producer: Name of the producer.
        epoch: Epoch of the producer; the store refuses an epoch lower than the
            highest that it has seen.
        number: Sequence number of the append; the store answers a repetition
            of one of the last appends as it did the first time.
    """

    producer: str
    epoch: int
    number: int


@dataclass(frozen=True, slots=True)
class Batch:
    """Records returned by one read.

    Attributes:
        records: The records, oldest first.
        next_offset: Offset at which the next read starts.
        end: End of the topic when the store answered.
    """

    records: tuple[Record, ...]
    next_offset: int
    end: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Newest record of each key of a topic.

    Attributes:
        records: Value by key.
        next_offset: Offset at which the next read starts; a read from there may
            return records that the snapshot already includes.
    """

    records: dict[str, bytes]
    next_offset: int


class Store(Protocol):
    """Store of records in keyed topics; every method raises a `StoreError` on failure."""

    def append(
        self,
        topic: str,
        records: list[Record],
        *,
        fence: Fence | None = None,
        only_at: int | None = None,
        timeout_s: float | None = None,
    ) -> int:
        """Append all records or none, and return the offset of the first."""

    def read(self, topic: str, start: int) -> Batch:
        """Return the records at and after an offset."""

    def newest(self, topic: str) -> Snapshot:
        """Return the newest record of every key."""
