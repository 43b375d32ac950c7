"""In-process emulator of the platform's store of keyed topics."""

from dataclasses import dataclass, field

from catkinknot.coordination import Batch, Fence, Record, Snapshot
from catkinknot.coordination.exceptions import (
    FencedError,
    HistoryGoneError,
    MovedError,
    OutOfSequenceError,
    StoreRefusedError,
    StoreSilentError,
)

__all__ = ["KeyedStore", "StoreFaults", "StoreView"]

REMEMBERED_APPEND_COUNT = 5
"""Last appends of a producer whose repetition is answered like the first call."""


@dataclass(slots=True)
class StoreFaults:
    """Faults between one instance and the store.

    Attributes:
        refuse: Refuse every call without any effect.
        lose: Number of the next appends that are applied but not answered.
        delay: Number of the next appends that are not answered, and applied
            only when `KeyedStore.apply_delayed_appends` is called.
    """

    refuse: bool = False
    lose: int = 0
    delay: int = 0


@dataclass(slots=True)
class _Producer:
    epoch: int = -1
    next_number: int = 0
    answers: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True)
class _Topic:
    records: list[Record] = field(default_factory=list)
    first: int = 0
    newest: dict[str, bytes] = field(default_factory=dict)
    producers: dict[str, _Producer] = field(default_factory=dict)

    @property
    def end(self) -> int:
        """Offset that the next record gets."""
        return self.first + len(self.records)


class KeyedStore:
    """Store of keyed topics that enforces the same conditions as the platform's."""

    def __init__(self) -> None:
        """Create a store without topics."""
        self._topics: dict[str, _Topic] = {}
        self._delayed_appends: list[tuple] = []

    def topic(self, name: str) -> _Topic:
        """Return a topic, which is created on first use."""
        return self._topics.setdefault(name, _Topic())

    def compact_topics(self) -> None:
        """Delete the history of every topic; the newest record of each key stays readable."""
        for topic in self._topics.values():
            topic.first = topic.end
            topic.records.clear()

    def apply_delayed_appends(self) -> None:
        """Apply each delayed append whose conditions still hold."""
        delayed, self._delayed_appends = self._delayed_appends, []
        for call in delayed:
            try:
                self.do_append(*call)
            except (FencedError, MovedError, OutOfSequenceError):
                continue

    def delay_append(self, *call: object) -> None:
        """Keep the arguments of an append until `apply_delayed_appends` is called."""
        self._delayed_appends.append(call)

    def do_append(
        self, name: str, records: list[Record], fence: Fence | None, only_at: int | None
    ) -> int:
        """Append records if all conditions of the platform hold, and return the first offset."""
        topic = self.topic(name)
        producer = None
        if fence is not None:
            producer = topic.producers.setdefault(fence.producer, _Producer())
            if fence.epoch < producer.epoch:
                raise FencedError("a producer with a higher epoch has appended")
            if fence.epoch == producer.epoch and fence.number != producer.next_number:
                if fence.number in producer.answers:
                    return producer.answers[fence.number]
                raise OutOfSequenceError(producer.next_number)
        if only_at is not None and only_at != topic.end:
            raise MovedError("the topic does not end at the expected offset")
        offset = topic.end
        self._write(topic, records)
        if producer is not None and fence is not None:
            if fence.epoch > producer.epoch:
                producer.answers.clear()
            producer.epoch = fence.epoch
            producer.next_number = fence.number + 1
            producer.answers[fence.number] = offset
            while len(producer.answers) > REMEMBERED_APPEND_COUNT:
                del producer.answers[min(producer.answers)]
        return offset

    def _write(self, topic: _Topic, records: list[Record]) -> None:
        """Add records to a topic, and update the newest record of each key."""
        for record in records:
            topic.records.append(record)
            topic.newest.pop(record.key, None)
            if record.value:
                topic.newest[record.key] = record.value


class StoreView:
    """Client of the store for one instance, with that instance's faults."""

    def __init__(self, store: KeyedStore) -> None:
        """Create a view without faults.

        Args:
            store: Store that all instances share.
        """
        self._store = store
        self.faults = StoreFaults()

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
        self._check()
        if self.faults.delay:
            self.faults.delay -= 1
            self._store.delay_append(topic, records, fence, only_at)
            raise StoreSilentError("no answer")
        offset = self._store.do_append(topic, records, fence, only_at)
        if self.faults.lose:
            self.faults.lose -= 1
            raise StoreSilentError("no answer")
        return offset

    def read(self, topic: str, start: int) -> Batch:
        """Return all records from an offset on."""
        self._check()
        stored = self._store.topic(topic)
        if start < stored.first:
            raise HistoryGoneError("the requested records have been deleted")
        records = tuple(stored.records[start - stored.first :])
        return Batch(records, start + len(records), stored.end)

    def newest(self, topic: str) -> Snapshot:
        """Return the newest record of every key."""
        self._check()
        stored = self._store.topic(topic)
        return Snapshot(dict(stored.newest), stored.end)

    def _check(self) -> None:
        """Refuse the call if the `refuse` fault is set."""
        if self.faults.refuse:
            raise StoreRefusedError("the store returned status 503")
