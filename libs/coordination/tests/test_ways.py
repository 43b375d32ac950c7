"""Reach the store by one way or another."""

import unittest

from catkinknot.coordination import PeerList, Record, StoreRouter
from catkinknot.coordination.exceptions import StoreRefusedError, StoreSilentError
from catkinknot.model import SteppedClock
from catkinknot_standins import KeyedStore, StoreView

TOPIC = "keyed.test"


class TestWays(unittest.TestCase):
    """Choose a way for each call."""

    def setUp(self) -> None:
        """Begin with a direct way and one through another instance."""
        self.clock = SteppedClock()
        self.store = KeyedStore()
        self.direct = StoreView(self.store)
        self.peer = StoreView(self.store)
        self.routes = StoreRouter(self.direct, peers=lambda: {"p:1": self.peer}, clock=self.clock)

    def test_refused_call_goes_through_a_peer(self) -> None:
        """Only this instance is turned away: its calls succeed all the same."""
        self.direct.faults.refuse = True
        self.assertEqual(self.routes.append(TOPIC, [Record("a", b"1")]), 0)
        self.assertEqual(self.routes.newest(TOPIC).records, {"a": b"1"})

    def test_direct_way_is_taken_again(self) -> None:
        """The detour ends when the direct way works again."""
        self.direct.faults.refuse = True
        self.routes.newest(TOPIC)
        self.direct.faults.refuse = False
        self.peer.faults.refuse = True
        self.clock.advance(2.0)
        self.routes.newest(TOPIC)

    def test_silent_call_is_not_repeated_here(self) -> None:
        """A call without an answer may be done, so its maker decides."""
        self.direct.faults.lose = 1
        with self.assertRaises(StoreSilentError):
            self.routes.append(TOPIC, [Record("a", b"1")])
        self.assertEqual(len(self.store.topic(TOPIC).records), 1)
        self.routes.append(TOPIC, [Record("a", b"1")])
        self.assertEqual(len(self.store.topic(TOPIC).records), 2)

    def test_no_way_open(self) -> None:
        """When every way refuses, so does the call."""
        self.direct.faults.refuse = self.peer.faults.refuse = True
        with self.assertRaises(StoreRefusedError):
            self.routes.newest(TOPIC)


class TestPeerList(unittest.TestCase):
    """Know the other instances."""

    def test_records_replace_seeds(self) -> None:
        """Seeds serve until the list is read; bad records are passed over."""
        peers = PeerList("a", "a:1", seeds=("a:1", "b:1"), make_route=lambda address: address)
        self.assertEqual(set(peers.routes()), {"b:1"})
        peers.apply({"a": b'{"address":"a:1"}', "c": b'{"address":"c:1"}', "d": b"?"})
        self.assertEqual(set(peers.routes()), {"c:1"})


if __name__ == "__main__":
    unittest.main()
