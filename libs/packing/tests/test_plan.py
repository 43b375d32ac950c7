"""Choose servers for steps under load; each test names the pattern it answers."""

import random
import unittest

from catkinknot.jobs import Job, Policy, Resources, Step, StepKey, StepState
from catkinknot.packing import (
    ExpectedValue,
    Occupant,
    OccupantGroups,
    PendingStep,
    Request,
    ServerCapacity,
    guaranteed_jobs,
    place,
    place_by_preemption,
    plan_placements,
)

CAPACITY = Resources(64_000, 131_072, 8)


def room(name: str, rack: str = "r1", labels: tuple[str, ...] = ()) -> ServerCapacity:
    """Return an empty server."""
    return ServerCapacity(name, "a", rack, frozenset({rack, *labels}), "render", CAPACITY)


def put(
    where: ServerCapacity,
    task: str,
    gpu: int,
    *,
    group: str = "",
    priority=2,
    unsaved=10.0,
    **extra,
):
    """Let a task run on a server."""
    need = Resources(1000, 1000, gpu)
    where.put(Occupant(task, group or task, "s", need, priority, unsaved_core_s=unsaved, **extra))


def state(
    name: str, count: int, gpu: int, *, priority: int = 0, workspace: str = "w", **extra
) -> StepState:
    """Return a step that waits."""
    step = Step(count, Resources(1000, 1000, gpu), estimate_ms=2000, **extra)
    job = Job(name, workspace, Policy("q", "render", priority=priority), "", (step,))
    return StepState(StepKey(name, 0, 0), step, job)


def request(count: int, gpu: int, rooms: list[ServerCapacity], **extra) -> Request:
    """Return a request of urgent work."""
    need = Resources(1000, 1000, gpu)
    return Request("s", need, tuple(range(count)), "render", 0, usable=tuple(rooms), **extra)


class TestPlace(unittest.TestCase):
    """Place tasks where there is room."""

    def test_small_tasks_leave_whole_servers(self) -> None:
        """Fragmentation: small work fills servers that are in use already."""
        rooms = [room("a"), room("b"), room("c")]
        put(rooms[1], "x", 4)
        found = place(request(2, 2, rooms))
        self.assertEqual(set(found.places.values()), {"b"})

    def test_memory_counts(self) -> None:
        """A server with free accelerators but no memory takes nothing."""
        full = room("a")
        full.put(Occupant("x", "x", "s", Resources(0, 131_000, 0), 2))
        self.assertIsNone(place(request(1, 1, [full])))

    def test_gang_stays_in_one_rack(self) -> None:
        """A gang that is slower on several racks gets one of them whole."""
        rooms = [room("a", "r1"), room("b", "r2"), room("c", "r2")]
        found = place(request(2, 8, rooms, whole=True, one_rack=True))
        self.assertEqual(set(found.places.values()), {"b", "c"})

    def test_limit_for_each_server(self) -> None:
        """No more tasks of a step on a server than its job allows."""
        found = place(request(3, 1, [room("a"), room("b")], max_per_server=1))
        self.assertEqual(sorted(found.places.values()), ["a", "b"])

    def test_never_over_capacity(self) -> None:
        """Random fleets: what is placed always fits, and a gang is whole or absent."""
        rng = random.Random(7)
        for _ in range(300):
            rooms = [room(f"s{i}", f"r{i % 3}") for i in range(6)]
            for i, one in enumerate(rooms):
                for j in range(rng.randrange(4)):
                    put(one, f"t{i}.{j}", rng.choice((0, 1, 2)))
            count, gpu = rng.randrange(1, 9), rng.choice((1, 2, 4, 8))
            whole = rng.random() < 0.5
            found = place(request(count, gpu, rooms, whole=whole, one_rack=rng.random() < 0.3))
            if found is None:
                continue
            for one in rooms:
                used = sum(server == one.server for server in found.places.values()) * gpu
                self.assertLessEqual(used, one.free().accelerators)
            if whole:
                self.assertEqual(len(found.places), count)


class TestEviction(unittest.TestCase):
    """Stop others for urgent work."""

    def find(self, req: Request):
        """Return the placement after stopping others."""
        return place_by_preemption(req, OccupantGroups(req.usable))

    def test_cheapest_victims(self) -> None:
        """The work that loses least is stopped."""
        rooms = [room("a"), room("b")]
        put(rooms[0], "x", 8, unsaved=100.0)
        put(rooms[1], "y", 8, unsaved=5.0)
        self.assertEqual(self.find(request(1, 8, rooms)).victims, {"y"})

    def test_no_more_victims_than_needed(self) -> None:
        """Room that is free already is used first."""
        rooms = [room("a")]
        for i in range(6):
            put(rooms[0], f"x{i}", 1, unsaved=float(i))
        self.assertEqual(self.find(request(1, 4, rooms)).victims, {"x0", "x1"})

    def test_equal_and_pinned_work_stays(self) -> None:
        """Work of the same priority, or that must not be interrupted, is not stopped."""
        rooms = [room("a"), room("b")]
        put(rooms[0], "x", 8, priority=0)
        put(rooms[1], "y", 8, pinned=True)
        self.assertIsNone(self.find(request(1, 8, rooms)))

    def test_borrowed_accelerators_are_reclaimed(self) -> None:
        """Urgent work beyond its own guarantee yields to a guarantee."""
        rooms = [room("a")]
        put(rooms[0], "x", 8, priority=0)
        self.assertEqual(self.find(request(1, 8, rooms, guaranteed=True)).victims, {"x"})


class TestChoose(unittest.TestCase):
    """Order what waits."""

    def test_flood_of_urgent_work(self) -> None:
        """What can earn nothing any more waits behind what can."""
        rooms = [room("a")]
        old = PendingStep(
            state("old", 1, 8), 0.0, prospect=ExpectedValue.NOTHING, may_preempt=False
        )
        new = PendingStep(state("new", 1, 8, priority=2), 5.0, may_preempt=False)
        chosen = plan_placements([old, new], rooms, 6.0)
        self.assertEqual([one.state.key.job for one, _ in chosen], ["new"])

    def test_work_in_time_goes_before_late_work(self) -> None:
        """Among equals, a job that can still be in time is not held up by a late one."""
        rooms = [room("a")]
        late = PendingStep(state("late", 1, 8), 0.0, prospect=ExpectedValue.LATE, may_preempt=False)
        good = PendingStep(state("good", 1, 8), 5.0, may_preempt=False)
        chosen = plan_placements([late, good], rooms, 6.0)
        self.assertEqual([one.state.key.job for one, _ in chosen], ["good"])

    def test_costly_eviction_is_not_made(self) -> None:
        """More is thrown away than the urgent job is worth: it waits."""
        rooms = [room("a")]
        put(rooms[0], "x", 8, unsaved=1000.0)
        one = PendingStep(state("new", 1, 8), 0.0, preemption_limit_core_s=100.0)
        self.assertEqual(plan_placements([one], rooms, 1.0), [])

    def test_reserved_room_is_kept(self) -> None:
        """Room that waits for victims to end goes to nobody else."""
        rooms = [room("a")]
        rooms[0].reserved["other"] = Resources(1000, 1000, 8)
        self.assertEqual(plan_placements([PendingStep(state("new", 1, 1), 0.0)], rooms, 1.0), [])

    def test_failed_server_is_avoided(self) -> None:
        """A task that failed on a server is tried on another one."""
        rooms = [room("a"), room("b")]
        put(rooms[0], "x", 4)
        one = PendingStep(state("new", 1, 1), 0.0, avoided_servers=frozenset({"a"}))
        ((_, found),) = plan_placements([one], rooms, 1.0)
        self.assertEqual(found.places, {0: "b"})


class TestLargeFleet(unittest.TestCase):
    """Decide for a fleet many times larger."""

    def test_work_grows_no_faster_than_the_fleet(self) -> None:
        """A flood on ten times the servers costs some ten times the decisions.

        Looks at rooms are counted, not time: each waiting step may look at
        every server a few times, not once for each other step or victim.
        """
        looks = {}
        for servers in (24, 240):
            rooms = [room(f"s{i}", f"r{i // 6}") for i in range(servers)]
            for one in rooms:
                for j in range(8):
                    put(one, f"{one.server}.{j}", 1)
            counted = Counted.over(rooms)
            wanting = [PendingStep(state(f"j{i}", 4, 8, gang=True), 0.0) for i in range(10)]
            self.assertTrue(plan_placements(wanting, counted, 1.0))
            looks[servers] = Counted.looks
        self.assertLess(looks[240], 15 * looks[24])


class Counted(ServerCapacity):
    """Count how often a room is looked at."""

    __slots__ = ()
    looks = 0

    @classmethod
    def over(cls, rooms: list[ServerCapacity]) -> list[ServerCapacity]:
        """Return rooms that count."""
        cls.looks = 0
        for one in rooms:
            one.__class__ = cls
        return rooms

    def free(self, *, excluding: str = "") -> Resources:
        """Count, and return what is free."""
        Counted.looks += 1
        return super().free(excluding=excluding)


class TestGuarantee(unittest.TestCase):
    """Say which jobs a guarantee covers."""

    def test_oldest_jobs_are_covered(self) -> None:
        """Jobs beyond the guarantee are not covered, smaller ones after them may be."""
        states = [state("a", 1, 4), state("b", 2, 4), state("c", 2, 2), state("d", 1, 1)]
        self.assertEqual(guaranteed_jobs(states, {"w": 8}), {"a", "c"})

    def test_other_priorities_are_not(self) -> None:
        """Only urgent work runs on a guarantee."""
        self.assertEqual(guaranteed_jobs([state("a", 1, 1, priority=1)], {"w": 8}), set())


if __name__ == "__main__":
    unittest.main()
