"""Test the servers reserved for urgent work."""

import unittest

from test_plan import CAPACITY, add_task, empty_server, state

from catkinknot.jobs import Resources
from catkinknot.packing import (
    Demand,
    PendingStep,
    plan_placements,
    select_clear,
    select_headroom,
)


def fleet(racks: int, servers: int) -> list:
    """Return empty servers in racks."""
    return [empty_server(f"s{r}{i}", rack=f"r{r}") for r in range(racks) for i in range(servers)]


class TestDemand(unittest.TestCase):
    """Test the sliding maximum of urgent demand."""

    def test_peak_within_the_window(self) -> None:
        """The peak of a burst counts until the window has passed."""
        demand = Demand()
        for at_s, need in ((0.0, 8), (1.0, 40), (2.0, 16), (20.5, 4)):
            demand.record(at_s, need)
        self.assertEqual(demand.peak, 40)
        demand.record(21.5, 4)
        self.assertEqual(demand.peak, 16)
        demand.record(60.0, 0)
        self.assertEqual(demand.peak, 0)


class TestSelectHeadroom(unittest.TestCase):
    """Test the selection of reserved servers."""

    def test_whole_racks_come_first(self) -> None:
        """Reserved servers share a rack, so that a gang that needs one rack fits."""
        capacities = fleet(4, 6)
        add_task(capacities[0], "x", 8)
        reserved = select_headroom(capacities, 24)
        self.assertEqual({c.rack for c in capacities if c.server in reserved}, {"r1"})

    def test_minimum_share_without_demand(self) -> None:
        """A share is reserved before the first urgent job arrives."""
        self.assertEqual(len(select_headroom(fleet(4, 6), 0)), 3)

    def test_small_pool(self) -> None:
        """A pool of few servers has none reserved, so that other work can run."""
        for servers in (1, 2):
            with self.subTest(servers=servers):
                self.assertEqual(select_headroom(fleet(1, servers), 100), set())

    def test_maximum_share(self) -> None:
        """However high the demand, no more than the largest share is reserved."""
        self.assertEqual(len(select_headroom(fleet(4, 6), 10_000)), 9)

    def test_no_more_than_the_peak(self) -> None:
        """After a peak of urgent gangs, gangs that wait get every server beyond that peak.

        Servers kept beyond the peak stand empty while less urgent gangs wait.
        """
        self.assertEqual(len(select_headroom(fleet(4, 6), 64)), 8)

    def test_running_urgent_work_counts_as_reserved(self) -> None:
        """Servers that urgent work uses count towards the reserved share."""
        capacities = fleet(2, 5)
        for capacity in capacities[:4]:
            add_task(capacity, f"u{capacity.server}", 8, priority=0)
        reserved = select_headroom(capacities, 24)
        self.assertEqual(len(reserved), 3)
        self.assertLessEqual(reserved, {capacity.server for capacity in capacities[:4]})


class TestPlanPlacementsWithHeadroom(unittest.TestCase):
    """Test scheduling of urgent and other work with reserved servers."""

    def test_flood_of_checks_before_a_proof(self) -> None:
        """Small tasks that come before an urgent gang of whole servers leave room for it.

        Without reserved servers they take every server, and the gang has to
        wait until enough of them are preempted.
        """
        capacities = fleet(4, 6)
        reserved = frozenset(select_headroom(capacities, 0))
        flood = PendingStep(state("flood", 500, 1, priority=2), 0.0)
        ((_, placed),) = plan_placements([flood], capacities, 0.0, urgent_only=reserved)
        self.assertFalse(reserved & set(placed.places.values()))
        for i, server in placed.places.items():
            add_task(next(c for c in capacities if c.server == server), f"flood.{i}", 1)
        for capacity in capacities:
            capacity.reserved.clear()
        proof = PendingStep(state("proof", 3, 8, gang=True, one_rack=True), 1.0, may_preempt=False)
        ((_, gang),) = plan_placements([proof], capacities, 1.0, urgent_only=reserved)
        self.assertEqual(gang.victims, set())

    def test_waiting_work_after_a_burst_of_proofs(self) -> None:
        """Most servers kept for urgent work run tasks that lose nothing when they are stopped.

        Otherwise a third of the fleet stands empty after a burst while small
        tasks wait. The least share stays free for short urgent jobs.
        """
        capacities = fleet(4, 6)
        reserved = frozenset(select_headroom(capacities, 64))
        clear = frozenset(select_clear(capacities, reserved))
        self.assertEqual(len(clear), 3)
        for capacity in capacities:
            if capacity.server not in reserved:
                add_task(capacity, f"x{capacity.server}", 8, priority=1)
        checks = [
            PendingStep(state("a" * 16, 40, 1, priority=2), 0.0, may_preempt=False),
            PendingStep(
                state("b" * 16, 40, 1, priority=2, checkpoints=True), 0.0, may_preempt=False
            ),
        ]
        ((chosen, placement),) = plan_placements(
            checks, capacities, 5.0, urgent_only=reserved, clear=clear
        )
        self.assertTrue(chosen.state.step.checkpoints)
        self.assertEqual(len(placement.places), 40)
        self.assertLessEqual(set(placement.places.values()), reserved - clear)
        self.assertEqual(placement.victims, set())

    def test_servers_stay_clear_until_urgent_work_uses_them(self) -> None:
        """Only free servers count as clear, not those that resumable or urgent work uses."""
        capacities = fleet(4, 6)
        reserved = select_headroom(capacities, 64)
        first = select_clear(capacities, reserved)
        for capacity in capacities:
            if capacity.server in reserved - first:
                add_task(capacity, f"x{capacity.server}", 8, resumable=True)
        self.assertEqual(select_clear(capacities, reserved), first)
        for capacity in capacities:
            if capacity.server in reserved and capacity.server in first:
                add_task(capacity, f"u{capacity.server}", 8, priority=0)
        self.assertEqual(select_clear(capacities, reserved), set())

    def test_resumable_work_counts_as_clear(self) -> None:
        """Resumable tasks on the servers kept clear do not make the planner clear others."""
        capacities = fleet(4, 6)
        before = select_headroom(capacities, 64)
        for capacity in capacities:
            if capacity.server in before:
                add_task(capacity, f"x{capacity.server}", 8, resumable=True)
        self.assertEqual(select_headroom(capacities, 64), before)

    def test_burst_of_proofs_stops_resumable_work_first(self) -> None:
        """An urgent gang gets its servers from tasks that resume, whatever these have done."""
        capacities = fleet(1, 4)
        for n, capacity in enumerate(capacities):
            resumable = n % 2 == 0
            unsaved = 4.0 if resumable else 20.0
            add_task(capacity, f"t{n}", 8, unsaved=unsaved, resumable=resumable)
        proof = PendingStep(state("proof", 2, 8, gang=True), 0.0)
        ((_, gang),) = plan_placements([proof], capacities, 1.0)
        self.assertEqual(gang.victims, {"t0", "t2"})

    def test_other_work_does_not_preempt_on_reserved_servers(self) -> None:
        """Less urgent work preempts no task on reserved servers."""
        capacities = fleet(1, 2)
        for capacity in capacities[:2]:
            add_task(capacity, f"c{capacity.server}", 8, priority=2)
        plate = PendingStep(state("plate", 1, 8, priority=1), 0.0)
        reserved = frozenset({capacities[0].server})
        ((_, placement),) = plan_placements([plate], capacities, 0.0, urgent_only=reserved)
        self.assertEqual(set(placement.places.values()), {capacities[1].server})

    def test_gang_too_wide_for_unreserved_servers(self) -> None:
        """A gang that could never fit on the unreserved servers may use reserved ones."""
        capacities = fleet(2, 4)
        reserved = frozenset(capacity.server for capacity in capacities[:3])
        wide = PendingStep(state("plate", 7, 8, priority=1, gang=True), 0.0)
        ((_, placement),) = plan_placements([wide], capacities, 0.0, urgent_only=reserved)
        self.assertEqual(len(set(placement.places.values())), 7)

    def test_label_of_reserved_servers_only(self) -> None:
        """A step whose label only reserved servers have does not wait forever."""
        capacities = [empty_server("a", labels=("big",)), empty_server("b")]
        pending_step = PendingStep(state("check", 1, 1, priority=2, labels=("big",)), 0.0)
        ((_, placement),) = plan_placements(
            [pending_step], capacities, 0.0, urgent_only=frozenset({"a"})
        )
        self.assertEqual(set(placement.places.values()), {"a"})

    def test_reserved_servers_are_used_while_the_pool_is_idle(self) -> None:
        """Tasks do not wait for long while more than half of the pool is idle."""
        capacities = fleet(1, 8)
        add_task(capacities[3], "x", 8)
        reserved = frozenset(capacity.server for capacity in capacities[:3])
        plate = state("plate", 6, 8, priority=1)
        ((_, at_once),) = plan_placements(
            [PendingStep(plate, 0.0, may_preempt=False)], capacities, 0.0, urgent_only=reserved
        )
        self.assertEqual(len(at_once.places), 4)
        for capacity in capacities:
            capacity.reserved.clear()
        ((_, later),) = plan_placements(
            [PendingStep(plate, 0.0, may_preempt=False)], capacities, 1.1, urgent_only=reserved
        )
        self.assertEqual(len(later.places), 6)

    def test_pool_of_servers_without_accelerators(self) -> None:
        """No server is reserved in a pool without accelerators."""
        capacities = fleet(1, 3)
        for capacity in capacities:
            capacity.capacity = Resources(CAPACITY.cpu_milli, CAPACITY.memory_mb, 0)
        self.assertEqual(select_headroom(capacities, 10), set())


if __name__ == "__main__":
    unittest.main()
