"""Stand in for the platform's store of keyed topics, inside one process."""

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

REMEMBERED = 5
"""How many of a producer's last appends are answered again as the first time."""


@dataclass(slots=True)
class StoreFaults:
    """Say what goes wrong.

    Attributes:
        refuse: Refuse every call; nothing is done.
        lose: How many of the next appends are done but not answered.
        delay: How many of the next appends are not answered, and done when
            `KeyedStore.apply_delayed_appends` is called.
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
        """Offset of the next record."""
        return self.first + len(self.records)


class KeyedStore:
    """Hold topics, as strictly as the platform does."""

    def __init__(self) -> None:
        """Begin empty."""
        self._topics: dict[str, _Topic] = {}
        self._late: list[tuple] = []

    def topic(self, name: str) -> _Topic:
        """Return a topic, created on first use."""
        return self._topics.setdefault(name, _Topic())

    def compact_topics(self) -> None:
        """Delete all records but the newest of each key."""
        for topic in self._topics.values():
            topic.first = topic.end
            topic.records.clear()

    def apply_delayed_appends(self) -> None:
        """Do the appends that were delayed, each if its condition still holds."""
        late, self._late = self._late, []
        for call in late:
            try:
                self.do_append(*call)
            except (FencedError, MovedError, OutOfSequenceError):
                continue

    def delay(self, *call: object) -> None:
        """Do an append later."""
        self._late.append(call)

    def do_append(
        self, name: str, records: list[Record], fence: Fence | None, only_at: int | None
    ) -> int:
        """Append under all conditions of the platform."""
        topic = self.topic(name)
        producer = None
        if fence is not None:
            producer = topic.producers.setdefault(fence.producer, _Producer())
            if fence.epoch < producer.epoch:
                raise FencedError("a higher epoch has written")
            if fence.epoch == producer.epoch and fence.number != producer.next_number:
                if fence.number in producer.answers:
                    return producer.answers[fence.number]
                raise OutOfSequenceError(producer.next_number)
        if only_at is not None and only_at != topic.end:
            raise MovedError("the topic ends elsewhere")
        offset = topic.end
        self._write(topic, records)
        if producer is not None and fence is not None:
            if fence.epoch > producer.epoch:
                producer.answers.clear()
            producer.epoch = fence.epoch
            producer.next_number = fence.number + 1
            producer.answers[fence.number] = offset
            while len(producer.answers) > REMEMBERED:
                del producer.answers[min(producer.answers)]
        return offset

    def _write(self, topic: _Topic, records: list[Record]) -> None:
        """Keep records and the newest of each key."""
        for record in records:
            topic.records.append(record)
            topic.newest.pop(record.key, None)
            if record.value:
                topic.newest[record.key] = record.value


class StoreView:
    """Reach the store from one instance, with that instance's faults."""

    def __init__(self, store: KeyedStore) -> None:
        """Keep the store.

        Args:
            store: The store that all instances share.
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
            self._store.delay(topic, records, fence, only_at)
            raise StoreSilentError("no answer")
        offset = self._store.do_append(topic, records, fence, only_at)
        if self.faults.lose:
            self.faults.lose -= 1
            raise StoreSilentError("no answer")
        return offset

    def read(self, topic: str, start: int) -> Batch:
        """Return records from an offset on."""
        self._check()
        found = self._store.topic(topic)
        if start < found.first:
            raise HistoryGoneError("the records asked for have been deleted")
        records = tuple(found.records[start - found.first :])
        return Batch(records, start + len(records))

    def newest(self, topic: str) -> Snapshot:
        """Return the newest record of every key."""
        self._check()
        found = self._store.topic(topic)
        return Snapshot(dict(found.newest), found.end)

    def _check(self) -> None:
        """Refuse the call if that is the fault."""
        if self.faults.refuse:
            raise StoreRefusedError("the store answers 503")
