"""Save servers for gangs that wait; each test names the pattern it answers."""

import unittest

from test_headroom import fleet
from test_plan import put, state

from catkinknot.packing import ExpectedValue, PendingStep, plan_placements


def plate(count: int, **extra) -> PendingStep:
    """Return a gang of whole servers that may not stop others yet."""
    return PendingStep(
        state("plate", count, 8, priority=1, gang=True), 0.0, may_preempt=False, **extra
    )


def checks(count: int) -> PendingStep:
    """Return many small tasks that can wait."""
    return PendingStep(state("checks", count, 1, priority=2), 0.0)


class TestSaving(unittest.TestCase):
    """Choose between a gang that does not fit yet and small tasks that do."""

    def setUp(self) -> None:
        """Begin with eight servers, each with one small task."""
        self.rooms = fleet(2, 4)
        for n, one in enumerate(self.rooms):
            put(one, f"x{n}", 1, unsaved=float(n))

    def _servers_of(self, name: str, chosen: list) -> set[str]:
        for one, found in chosen:
            if one.state.job.id == name:
                return set(found.places.values())
        return set()

    def test_backfill_before_a_gang(self) -> None:
        """Small tasks that trickle in leave the gang's servers to empty.

        Before, they took every accelerator that became free, and the gang
        never found whole servers.
        """
        chosen = plan_placements([plate(2), checks(100)], self.rooms, 0.0)
        used = self._servers_of("checks", chosen)
        self.assertEqual(used, {one.server for one in self.rooms[2:]})

    def test_gang_takes_its_servers_when_they_are_empty(self) -> None:
        """What was saved is used as soon as it is free."""
        for n, one in enumerate(self.rooms[:2]):
            one.remove(f"x{n}")
        chosen = plan_placements([checks(100), plate(2)], self.rooms, 0.0)
        self.assertEqual(self._servers_of("plate", chosen), {one.server for one in self.rooms[:2]})

    def test_gangs_that_save_nothing(self) -> None:
        """Nobody waits for a gang that is late, too wide, or can never fit."""
        cases = {
            "late": plate(2, prospect=ExpectedValue.LATE),
            "wide": plate(4),
            "impossible": plate(9),
        }
        for name, gang in cases.items():
            with self.subTest(gang=name):
                chosen = plan_placements([gang, checks(100)], self.rooms, 0.0)
                self.assertEqual(len(self._servers_of("checks", chosen)), 8)
                for one in self.rooms:
                    one.reserved.clear()

    def test_saved_servers_do_not_stand_idle(self) -> None:
        """While half of the pool is idle, small tasks wait a moment only."""
        chosen = plan_placements([plate(2), checks(100)], self.rooms, 1.5)
        self.assertEqual(len(self._servers_of("checks", chosen)), 8)

    def test_more_urgent_work_goes_first(self) -> None:
        """An urgent gang uses servers that are saved for a less urgent one."""
        proof = PendingStep(state("proof", 8, 7, gang=True), 1.0, may_preempt=False)
        chosen = plan_placements([plate(2), proof], self.rooms, 0.0)
        self.assertEqual(len(self._servers_of("proof", chosen)), 8)


if __name__ == "__main__":
    unittest.main()
