"""Tests of the store routes and the list of instances."""

import json
import unittest

from catkinknot.coordination import Batch, Fence, PeerList, Record, StoreRouter
from catkinknot.coordination.exceptions import StoreRefusedError, StoreSilentError
from catkinknot.model import SteppedClock
from catkinknot_standins import KeyedStore, StoreView

TOPIC = "keyed.test"


class TestStoreRouter(unittest.TestCase):
    """Routing of store calls."""

    def setUp(self) -> None:
        """Create a router with a direct route and one through a peer."""
        self.clock = SteppedClock()
        self.store = KeyedStore()
        self.direct = StoreView(self.store)
        self.peer = StoreView(self.store)
        self.routes = StoreRouter(self.direct, peers=lambda: {"p:1": self.peer}, clock=self.clock)

    def test_refused_call_goes_through_a_peer(self) -> None:
        """Calls succeed through a peer while the store refuses only this instance."""
        self.direct.faults.refuse = True
        self.assertEqual(self.routes.append(TOPIC, [Record("a", b"1")]), 0)
        self.assertEqual(self.routes.newest(TOPIC).records, {"a": b"1"})

    def test_direct_route_is_used_again(self) -> None:
        """Calls return to the direct route once it works again."""
        self.direct.faults.refuse = True
        self.routes.newest(TOPIC)
        self.direct.faults.refuse = False
        self.peer.faults.refuse = True
        self.clock.advance(2.0)
        self.routes.newest(TOPIC)

    def test_unanswered_call_is_not_repeated(self) -> None:
        """A call without an answer may have been executed, so only its caller repeats it."""
        self.direct.faults.lose = 1
        with self.assertRaises(StoreSilentError):
            self.routes.append(TOPIC, [Record("a", b"1")])
        self.assertEqual(len(self.store.topic(TOPIC).records), 1)
        self.routes.append(TOPIC, [Record("a", b"1")])
        self.assertEqual(len(self.store.topic(TOPIC).records), 2)

    def test_no_route_available(self) -> None:
        """A call fails as refused when every route refuses it."""
        self.direct.faults.refuse = self.peer.faults.refuse = True
        with self.assertRaises(StoreRefusedError):
            self.routes.newest(TOPIC)


class SlowStore(StoreView):
    """Route whose calls take a set time and are counted."""

    def __init__(self, store: KeyedStore, clock: SteppedClock) -> None:
        """Create a route that answers at once."""
        super().__init__(store)
        self._clock = clock
        self.answer_s = 0.0
        self.append_count = 0

    def append(self, topic, records, *, fence=None, only_at=None, timeout_s=None) -> int:
        """Append after the set time."""
        self._clock.advance(self.answer_s)
        self.append_count += 1
        return super().append(topic, records, fence=fence, only_at=only_at)

    def read(self, topic, start) -> Batch:
        """Read after the set time."""
        self._clock.advance(self.answer_s)
        return super().read(topic, start)


class TestSlowStore(unittest.TestCase):
    """Jobs that arrive at hundreds of instances while the store is slow."""

    def setUp(self) -> None:
        """Create a router of an instance, with routes to the store and through the leader."""
        self.clock = SteppedClock()
        store = KeyedStore()
        self.direct = SlowStore(store, self.clock)
        self.through_leader = SlowStore(store, self.clock)
        self.leader = "leader:1"
        self.routes = StoreRouter(
            self.direct,
            peers=lambda: {"other:1": StoreView(store), "leader:1": self.through_leader},
            combiner=lambda: self.leader,
            clock=self.clock,
        )
        self.direct.answer_s = 0.25

    def _append(self, **conditions: object) -> tuple[int, int]:
        """Append once; return the calls made directly and through the leader."""
        before = self.direct.append_count, self.through_leader.append_count
        self.routes.append(TOPIC, [Record("a", b"1")], **conditions)
        return self.direct.append_count - before[0], self.through_leader.append_count - before[1]

    def test_slow_reads_send_appends_to_the_leader(self) -> None:
        """An instance that has only read slowly sends its first job through the leader."""
        self.assertEqual(self._append(), (1, 0))
        self.assertEqual(self._append(), (0, 1))
        self.routes = StoreRouter(
            self.direct,
            peers=lambda: {"leader:1": self.through_leader},
            combiner=lambda: self.leader,
            clock=self.clock,
        )
        self.routes.read(TOPIC, 0)
        self.assertEqual(self._append(), (0, 1))

    def test_fast_store(self) -> None:
        """Once a read is fast again, jobs take the direct route."""
        self.routes.read(TOPIC, 0)
        self.direct.answer_s = 0.004
        self.routes.read(TOPIC, 0)
        self.assertEqual(self._append(), (1, 0))

    def test_calls_between_slow_and_fast(self) -> None:
        """A store whose calls take about as long as the limit does not change back and forth."""
        self.routes.read(TOPIC, 0)
        for answer_s in (0.055, 0.065, 0.04):
            self.direct.answer_s = answer_s
            self.routes.read(TOPIC, 0)
            self.assertEqual(self._append(), (0, 1))

    def test_conditional_appends_are_direct(self) -> None:
        """Claims and the leader's own appends are never combined."""
        self.routes.read(TOPIC, 0)
        self.assertEqual(self._append(fence=Fence("leader", 1, 0)), (1, 0))
        self.assertEqual(self._append(only_at=1), (1, 0))

    def test_no_leader(self) -> None:
        """Without a leader, and at the leader itself, jobs take the direct route."""
        self.routes.read(TOPIC, 0)
        for leader in ("", "gone:1"):
            with self.subTest(leader=leader):
                self.leader = leader
                self.assertEqual(self._append(), (1, 0))

    def test_leader_that_refuses_or_is_silent(self) -> None:
        """Jobs take the direct route once the leader fails, and a doubtful append is not repeated.

        The caller repeats it, as its outcome is unknown.
        """
        self.routes.read(TOPIC, 0)
        self.through_leader.faults.refuse = True
        self.assertEqual(self._append(), (1, 1))
        self.assertEqual(self._append(), (1, 0))
        self.through_leader.faults.refuse = False
        self.through_leader.faults.lose = 1
        self.clock.advance(4.0)
        self.routes.read(TOPIC, 0)
        with self.assertRaises(StoreSilentError):
            self._append()
        self.assertEqual(self._append(), (1, 0))


class TestPeerList(unittest.TestCase):
    """The list of other instances."""

    def test_records_replace_seeds(self) -> None:
        """Seeds are used until the list is read; invalid records are skipped."""
        peers = PeerList(
            "a", "a:1", cores=1.0, seeds=("a:1", "b:1"), make_route=lambda address: address
        )
        self.assertEqual(set(peers.routes()), {"b:1"})
        peers.apply({"a": b'{"address":"a:1"}', "c": b'{"address":"c:1"}', "d": b"?"})
        self.assertEqual(set(peers.routes()), {"c:1"})

    def test_rank(self) -> None:
        """Instances with more processor time rank first, and all agree on the order."""
        cores = {"a": 0.5, "b": 2.0, "c": 0.5, "d": 2.0}
        records = {
            name: json.dumps({"address": f"{name}:1", "cores": count}).encode()
            for name, count in cores.items()
        }
        ranks = {}
        for name, count in cores.items():
            peers = PeerList(name, f"{name}:1", cores=count, seeds=(), make_route=str)
            self.assertIsNone(peers.rank)
            peers.apply(records)
            ranks[name] = peers.rank
        self.assertEqual({ranks["b"], ranks["d"]}, {0, 1})
        self.assertEqual(sorted(ranks.values()), [0, 1, 2, 3])


if __name__ == "__main__":
    unittest.main()
