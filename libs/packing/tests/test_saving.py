"""Test the reservation of servers for waiting gangs."""

import unittest

from test_headroom import fleet
from test_plan import add_task, state

from catkinknot.packing import ExpectedValue, PendingStep, plan_placements


def plate(count: int, **extra) -> PendingStep:
    """Return a gang of whole servers that may not preempt others yet."""
    return PendingStep(
        state("plate", count, 8, priority=1, gang=True), 0.0, may_preempt=False, **extra
    )


def checks(count: int) -> PendingStep:
    """Return a step of low priority with small tasks."""
    return PendingStep(state("checks", count, 1, priority=2), 0.0)


class TestGangReservation(unittest.TestCase):
    """Test scheduling of small tasks while a gang does not fit yet."""

    def setUp(self) -> None:
        """Set up eight servers with one small task each."""
        self.capacities = fleet(2, 4)
        for n, capacity in enumerate(self.capacities):
            add_task(capacity, f"x{n}", 1, unsaved=float(n))

    def _servers_of(self, name: str, chosen: list) -> set[str]:
        for pending_step, placement in chosen:
            if pending_step.state.job.id == name:
                return set(placement.places.values())
        return set()

    def test_backfill_before_a_gang(self) -> None:
        """Small tasks do not start on the servers that will be empty first.

        Without the reservation they take every accelerator that becomes free,
        and the gang never finds whole servers.
        """
        chosen = plan_placements([plate(2), checks(100)], self.capacities, 0.0)
        used = self._servers_of("checks", chosen)
        self.assertEqual(used, {capacity.server for capacity in self.capacities[2:]})

    def test_gang_uses_its_servers_once_they_are_empty(self) -> None:
        """The gang is placed as soon as enough whole servers are free."""
        for n, capacity in enumerate(self.capacities[:2]):
            capacity.remove(f"x{n}")
        chosen = plan_placements([checks(100), plate(2)], self.capacities, 0.0)
        self.assertEqual(
            self._servers_of("plate", chosen), {capacity.server for capacity in self.capacities[:2]}
        )

    def test_gangs_without_reservation(self) -> None:
        """No servers are reserved for a gang without value, too wide, or that can never fit."""
        cases = {
            "without value": plate(2, prospect=ExpectedValue.NOTHING),
            "wide": plate(4),
            "impossible": plate(9),
        }
        for name, gang in cases.items():
            with self.subTest(gang=name):
                chosen = plan_placements([gang, checks(100)], self.capacities, 0.0)
                self.assertEqual(len(self._servers_of("checks", chosen)), 8)
                for capacity in self.capacities:
                    capacity.reserved.clear()

    def test_gang_reservation_ends_while_the_pool_is_idle(self) -> None:
        """Small tasks wait only briefly while more than half of the pool is idle."""
        chosen = plan_placements([plate(2), checks(100)], self.capacities, 1.5)
        self.assertEqual(len(self._servers_of("checks", chosen)), 8)

    def test_more_urgent_work_goes_first(self) -> None:
        """An urgent gang uses servers that are reserved for a less urgent one."""
        proof = PendingStep(state("proof", 8, 7, gang=True), 1.0, may_preempt=False)
        chosen = plan_placements([plate(2), proof], self.capacities, 0.0)
        self.assertEqual(len(self._servers_of("proof", chosen)), 8)


if __name__ == "__main__":
    unittest.main()
