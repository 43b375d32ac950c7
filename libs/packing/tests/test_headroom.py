"""Keep servers clear for urgent work; each test names the pattern it answers."""

import unittest

from test_plan import CAPACITY, put, room, state

from catkinknot.jobs import Resources
from catkinknot.packing import Demand, PendingStep, plan_placements, select_headroom


def fleet(racks: int, servers: int) -> list:
    """Return empty servers in racks."""
    return [room(f"s{r}{i}", rack=f"r{r}") for r in range(racks) for i in range(servers)]


class TestDemand(unittest.TestCase):
    """Remember what urgent work needed."""

    def test_the_highest_counts_for_a_while(self) -> None:
        """A wave of urgent work is prepared for until it has long passed."""
        demand = Demand()
        for at_s, need in ((0.0, 8), (1.0, 40), (2.0, 16), (20.5, 4)):
            demand.record(at_s, need)
        self.assertEqual(demand.peak, 40)
        demand.record(21.5, 4)
        self.assertEqual(demand.peak, 16)
        demand.record(60.0, 0)
        self.assertEqual(demand.peak, 0)


class TestKeepClear(unittest.TestCase):
    """Choose the servers that are kept."""

    def test_whole_racks_come_first(self) -> None:
        """Gangs that need one rack: what is kept lies together."""
        rooms = fleet(4, 6)
        put(rooms[0], "x", 8)
        kept = select_headroom(rooms, 24)
        self.assertEqual({r.rack for r in rooms if r.server in kept}, {"r1"})

    def test_a_share_is_kept_before_any_demand(self) -> None:
        """The first urgent job of a day finds room, too."""
        self.assertEqual(len(select_headroom(fleet(4, 6), 0)), 3)

    def test_small_pool(self) -> None:
        """A pool of few servers is not closed to other work."""
        for servers in (1, 2):
            with self.subTest(servers=servers):
                self.assertEqual(select_headroom(fleet(1, servers), 100), set())

    def test_other_work_keeps_most(self) -> None:
        """A flood of urgent work takes no more than a share by itself."""
        self.assertEqual(len(select_headroom(fleet(4, 6), 10_000)), 9)

    def test_urgent_work_counts_as_kept(self) -> None:
        """While urgent work has its room, no more is kept beside it."""
        rooms = fleet(2, 5)
        for one in rooms[:4]:
            put(one, f"u{one.server}", 8, priority=0)
        kept = select_headroom(rooms, 24)
        self.assertEqual(len(kept), 3)
        self.assertLessEqual(kept, {one.server for one in rooms[:4]})


class TestChooseBesideKeptServers(unittest.TestCase):
    """Give servers to a mix of work."""

    def test_flood_of_checks_before_a_proof(self) -> None:
        """Many small tasks that can wait, then an urgent gang of whole servers.

        Before, the small tasks took every server, and the gang had to wait
        for them to stop.
        """
        rooms = fleet(4, 6)
        kept = frozenset(select_headroom(rooms, 0))
        flood = PendingStep(state("flood", 500, 1, priority=2), 0.0)
        ((_, placed),) = plan_placements([flood], rooms, 0.0, urgent_only=kept)
        self.assertFalse(kept & set(placed.places.values()))
        for i, server in placed.places.items():
            put(next(r for r in rooms if r.server == server), f"flood.{i}", 1)
        for one in rooms:
            one.reserved.clear()
        proof = PendingStep(state("proof", 3, 8, gang=True, one_rack=True), 1.0, may_preempt=False)
        ((_, gang),) = plan_placements([proof], rooms, 1.0, urgent_only=kept)
        self.assertEqual(gang.victims, set())

    def test_other_work_does_not_stop_work_there(self) -> None:
        """Less urgent work does not make room for itself on kept servers."""
        rooms = fleet(1, 2)
        for one in rooms[:2]:
            put(one, f"c{one.server}", 8, priority=2)
        plate = PendingStep(state("plate", 1, 8, priority=1), 0.0)
        kept = frozenset({rooms[0].server})
        ((_, found),) = plan_placements([plate], rooms, 0.0, urgent_only=kept)
        self.assertEqual(set(found.places.values()), {rooms[1].server})

    def test_gang_wider_than_the_rest(self) -> None:
        """A wide gang that would never fit beside the kept servers may use them."""
        rooms = fleet(2, 4)
        kept = frozenset(one.server for one in rooms[:3])
        wide = PendingStep(state("plate", 7, 8, priority=1, gang=True), 0.0)
        ((_, found),) = plan_placements([wide], rooms, 0.0, urgent_only=kept)
        self.assertEqual(len(set(found.places.values())), 7)

    def test_label_of_kept_servers_only(self) -> None:
        """Work that only kept servers can do does not wait for ever."""
        rooms = [room("a", labels=("big",)), room("b")]
        one = PendingStep(state("check", 1, 1, priority=2, labels=("big",)), 0.0)
        ((_, found),) = plan_placements([one], rooms, 0.0, urgent_only=frozenset({"a"}))
        self.assertEqual(set(found.places.values()), {"a"})

    def test_nothing_waits_while_half_is_idle(self) -> None:
        """At the end of a day no task stands still beside an idle fleet."""
        rooms = fleet(1, 8)
        put(rooms[3], "x", 8)
        kept = frozenset(one.server for one in rooms[:3])
        plate = state("plate", 6, 8, priority=1)
        ((_, at_once),) = plan_placements(
            [PendingStep(plate, 0.0, may_preempt=False)], rooms, 0.0, urgent_only=kept
        )
        self.assertEqual(len(at_once.places), 4)
        for one in rooms:
            one.reserved.clear()
        ((_, later),) = plan_placements(
            [PendingStep(plate, 0.0, may_preempt=False)], rooms, 1.1, urgent_only=kept
        )
        self.assertEqual(len(later.places), 6)

    def test_pool_of_servers_without_accelerators(self) -> None:
        """Nothing is kept where there is nothing to keep."""
        rooms = fleet(1, 3)
        for one in rooms:
            one.capacity = Resources(CAPACITY.cpu_milli, CAPACITY.memory_mb, 0)
        self.assertEqual(select_headroom(rooms, 10), set())


if __name__ == "__main__":
    unittest.main()
