"""Tests of the store routes and the list of instances."""

import json
import unittest

from catkinknot.coordination import PeerList, Record, StoreRouter
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
