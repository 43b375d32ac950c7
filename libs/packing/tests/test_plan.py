"""Test placement, preemption and the order of pending steps."""

import random
import unittest
from unittest import mock

from catkinknot.jobs import Job, Policy, Resources, Step, StepKey, StepState
from catkinknot.packing import (
    ExpectedValue,
    Occupant,
    OccupantGroups,
    PendingStep,
    Request,
    ServerCapacity,
    _plan,
    guaranteed_jobs,
    place,
    place_by_preemption,
    plan_placements,
)

CAPACITY = Resources(64_000, 131_072, 8)


def empty_server(name: str, rack: str = "r1", labels: tuple[str, ...] = ()) -> ServerCapacity:
    """Return an empty server."""
    return ServerCapacity(name, "a", rack, frozenset({rack, *labels}), "render", CAPACITY)


def add_task(
    capacity: ServerCapacity,
    task: str,
    gpu: int,
    *,
    group: str = "",
    priority=2,
    unsaved=10.0,
    **extra,
):
    """Add a task to a server."""
    need = Resources(1000, 1000, gpu)
    capacity.put(
        Occupant(task, group or task, "s", need, priority, unsaved_core_s=unsaved, **extra)
    )


def state(
    name: str, count: int, gpu: int, *, priority: int = 0, workspace: str = "w", **extra
) -> StepState:
    """Return the state of a step with waiting tasks."""
    step = Step(count, Resources(1000, 1000, gpu), estimate_ms=2000, **extra)
    job = Job(name, workspace, Policy("q", "render", priority=priority), "", (step,))
    return StepState(StepKey(name, 0, 0), step, job)


def request(count: int, gpu: int, capacities: list[ServerCapacity], **extra) -> Request:
    """Return a request for urgent work."""
    need = Resources(1000, 1000, gpu)
    return Request("s", need, tuple(range(count)), "render", 0, usable=tuple(capacities), **extra)


class _Forgetful(dict):
    """Mapping that keeps nothing."""

    def __setitem__(self, key, value) -> None:
        """Drop the value."""


class _NaiveRoundState(_plan._RoundState):
    """State of a round that does not remember which gangs did not fit."""

    def __post_init__(self) -> None:
        """Forget each gang that did not fit."""
        self.failed_gangs = _Forgetful()
        self.failed_reservations = _Forgetful()


class TestManyWaitingGangs(unittest.TestCase):
    """Gangs of all sizes wait for a nearly full fleet, as after a burst."""

    def _random_round(self, rng: random.Random) -> tuple[list[PendingStep], list[ServerCapacity]]:
        """Return waiting gangs and a fleet with tasks on it."""
        capacities = [empty_server(f"s{n:02}", f"r{n // 4}") for n in range(12)]
        for n, capacity in enumerate(capacities):
            for k in range(rng.randrange(4)):
                unsaved = rng.choice((1.0, 40.0))
                add_task(capacity, f"t{n}.{k}", rng.choice((1, 2)), priority=2, unsaved=unsaved)
        pending = [
            PendingStep(
                state(
                    f"{n:016x}", rng.randrange(1, 14), rng.choice((1, 4, 8)),
                    priority=rng.choice((0, 1, 1, 2)), gang=True, one_rack=rng.random() < 0.4,
                    checkpoints=rng.random() < 0.5,
                ),
                rng.uniform(0.0, 5.0),
                prospect=rng.choice(list(ExpectedValue)),
                may_preempt=rng.random() < 0.3,
                preemption_limit_core_s=20.0,
            )
            for n in range(14)
        ]  # fmt: skip
        return pending, capacities

    def test_same_placements_as_without_memory(self) -> None:
        """Remembering the gangs that did not fit changes no placement of a round."""
        for seed in range(300):
            rounds = []
            for round_state in (_plan._RoundState, _NaiveRoundState):
                pending, capacities = self._random_round(random.Random(seed))
                with mock.patch.object(_plan, "_RoundState", round_state):
                    chosen = plan_placements(
                        pending,
                        capacities,
                        6.0,
                        urgent_only=frozenset({"s00", "s01", "s02", "s03"}),
                        clear=frozenset({"s00"}),
                    )
                rounds.append([(str(step.state.key), placement) for step, placement in chosen])
            with self.subTest(seed=seed):
                self.assertEqual(*rounds)

    def test_small_tasks_leave_servers_to_a_late_gang(self) -> None:
        """A large gang that can only end late still gets the servers that are free first.

        Otherwise small tasks take each accelerator that becomes free, and the
        largest jobs never run.
        """
        for prospect, left_to_gang in ((ExpectedValue.LATE, 2), (ExpectedValue.NOTHING, 0)):
            with self.subTest(prospect=prospect.name):
                capacities = [empty_server(f"s{n}") for n in range(6)]
                for capacity in capacities:
                    add_task(capacity, f"t{capacity.server}", 1, priority=2)
                gang = state("a" * 16, 2, 8, priority=1, gang=True)
                small = state("b" * 16, 60, 1, priority=2)
                pending = [
                    PendingStep(gang, 0.0, prospect=prospect, may_preempt=False),
                    PendingStep(small, 0.0, may_preempt=False),
                ]
                ((_, placement),) = plan_placements(pending, capacities, 0.5)
                unused = {c.server for c in capacities} - set(placement.places.values())
                self.assertEqual(len(unused), left_to_gang)

    def test_a_gang_as_large_is_not_tried_again(self) -> None:
        """Twenty alike gangs that do not fit cost one search for servers, not twenty."""
        capacities = [empty_server(f"s{n}") for n in range(3)]
        pending = [
            PendingStep(state(f"{n:016x}", 4, 8, priority=1, gang=True), 0.0, may_preempt=False)
            for n in range(20)
        ]
        with mock.patch.object(_plan, "place", wraps=place) as search:
            self.assertEqual(plan_placements(pending, capacities, 0.0), [])
        self.assertEqual(search.call_count, 1)


class TestPlace(unittest.TestCase):
    """Test placement on free capacity."""

    def test_small_tasks_fill_used_servers_first(self) -> None:
        """Fragmentation: small tasks go to servers in use, so that whole servers stay free."""
        capacities = [empty_server("a"), empty_server("b"), empty_server("c")]
        add_task(capacities[1], "x", 4)
        placement = place(request(2, 2, capacities))
        self.assertEqual(set(placement.places.values()), {"b"})

    def test_memory_limits_placement(self) -> None:
        """A server with free accelerators but no free memory gets no task."""
        full = empty_server("a")
        full.put(Occupant("x", "x", "s", Resources(0, 131_000, 0), 2))
        self.assertIsNone(place(request(1, 1, [full])))

    def test_gang_stays_in_one_rack(self) -> None:
        """A gang that is slower on several racks is placed in one rack."""
        capacities = [empty_server("a", "r1"), empty_server("b", "r2"), empty_server("c", "r2")]
        placement = place(request(2, 8, capacities, all_or_none=True, one_rack=True))
        self.assertEqual(set(placement.places.values()), {"b", "c"})

    def test_max_per_server(self) -> None:
        """A server gets no more tasks of a step than the job allows."""
        placement = place(request(3, 1, [empty_server("a"), empty_server("b")], max_per_server=1))
        self.assertEqual(sorted(placement.places.values()), ["a", "b"])

    def test_never_over_capacity(self) -> None:
        """On random fleets, placed tasks always fit and a gang is placed whole or not at all."""
        rng = random.Random(7)
        for _ in range(300):
            capacities = [empty_server(f"s{i}", f"r{i % 3}") for i in range(6)]
            for i, capacity in enumerate(capacities):
                for j in range(rng.randrange(4)):
                    add_task(capacity, f"t{i}.{j}", rng.choice((0, 1, 2)))
            count, gpu = rng.randrange(1, 9), rng.choice((1, 2, 4, 8))
            whole = rng.random() < 0.5
            placement = place(
                request(count, gpu, capacities, all_or_none=whole, one_rack=rng.random() < 0.3)
            )
            if placement is None:
                continue
            for capacity in capacities:
                used = sum(server == capacity.server for server in placement.places.values()) * gpu
                self.assertLessEqual(used, capacity.free().accelerators)
            if whole:
                self.assertEqual(len(placement.places), count)


class TestPreemption(unittest.TestCase):
    """Test placement by preemption."""

    def preempt(self, req: Request):
        """Return the placement after preemption."""
        return place_by_preemption(req, OccupantGroups(req.usable))

    def test_cheapest_victims(self) -> None:
        """The occupant with the least unsaved work is the victim."""
        capacities = [empty_server("a"), empty_server("b")]
        add_task(capacities[0], "x", 8, unsaved=100.0)
        add_task(capacities[1], "y", 8, unsaved=5.0)
        self.assertEqual(self.preempt(request(1, 8, capacities)).victims, {"y"})

    def test_no_more_victims_than_needed(self) -> None:
        """Free capacity counts, so that only the missing accelerators are freed."""
        capacities = [empty_server("a")]
        for i in range(6):
            add_task(capacities[0], f"x{i}", 1, unsaved=float(i))
        self.assertEqual(self.preempt(request(1, 4, capacities)).victims, {"x0", "x1"})

    def test_equal_priority_and_pinned_work_is_not_preempted(self) -> None:
        """Work of the same priority and work that must not be interrupted is no victim."""
        capacities = [empty_server("a"), empty_server("b")]
        add_task(capacities[0], "x", 8, priority=0)
        add_task(capacities[1], "y", 8, pinned=True)
        self.assertIsNone(self.preempt(request(1, 8, capacities)))

    def test_borrowed_accelerators_are_reclaimed(self) -> None:
        """A guaranteed step preempts urgent work that is beyond its own guarantee."""
        capacities = [empty_server("a")]
        add_task(capacities[0], "x", 8, priority=0)
        self.assertEqual(self.preempt(request(1, 8, capacities, guaranteed=True)).victims, {"x"})


class TestPlanPlacements(unittest.TestCase):
    """Test the order and the limits of scheduling."""

    def test_flood_of_expired_urgent_work(self) -> None:
        """Steps without expected value are placed after all others, whatever their priority."""
        capacities = [empty_server("a")]
        old = PendingStep(
            state("old", 1, 8), 0.0, prospect=ExpectedValue.NOTHING, may_preempt=False
        )
        new = PendingStep(state("new", 1, 8, priority=2), 5.0, may_preempt=False)
        chosen = plan_placements([old, new], capacities, 6.0)
        self.assertEqual([pending_step.state.key.job for pending_step, _ in chosen], ["new"])

    def test_in_time_work_goes_before_late_work(self) -> None:
        """At equal priority, a job that can still be in time does not wait for a late one."""
        capacities = [empty_server("a")]
        late = PendingStep(state("late", 1, 8), 0.0, prospect=ExpectedValue.LATE, may_preempt=False)
        good = PendingStep(state("good", 1, 8), 5.0, may_preempt=False)
        chosen = plan_placements([late, good], capacities, 6.0)
        self.assertEqual([pending_step.state.key.job for pending_step, _ in chosen], ["good"])

    def test_too_costly_preemption_is_not_made(self) -> None:
        """A step waits if preemption would lose more work than its limit."""
        capacities = [empty_server("a")]
        add_task(capacities[0], "x", 8, unsaved=1000.0)
        pending_step = PendingStep(state("new", 1, 8), 0.0, preemption_limit_core_s=100.0)
        self.assertEqual(plan_placements([pending_step], capacities, 1.0), [])

    def test_reserved_capacity_is_not_used(self) -> None:
        """Capacity reserved for a step whose victims are ending goes to no other step."""
        capacities = [empty_server("a")]
        capacities[0].reserved["other"] = Resources(1000, 1000, 8)
        self.assertEqual(
            plan_placements([PendingStep(state("new", 1, 1), 0.0)], capacities, 1.0), []
        )

    def test_avoided_server_is_not_used(self) -> None:
        """A task that failed on a server is tried on another one."""
        capacities = [empty_server("a"), empty_server("b")]
        add_task(capacities[0], "x", 4)
        pending_step = PendingStep(state("new", 1, 1), 0.0, avoided_servers=frozenset({"a"}))
        ((_, placement),) = plan_placements([pending_step], capacities, 1.0)
        self.assertEqual(placement.places, {0: "b"})

    def test_avoided_server_is_better_than_none(self) -> None:
        """A task returns to the server it failed on if no other has capacity for it.

        Guards against a job that never runs again, as all other servers are full
        or too small for it (review 5).
        """
        small = ServerCapacity("b", "a", "r1", frozenset({"r1"}), "render", Resources(1, 1, 0))
        full = empty_server("b")
        add_task(full, "x", 8, priority=0, pinned=True)
        for name, other in (("small", small), ("full", full)):
            for count, extra in (
                (1, {}),
                (2, {"gang": True}),
                (2, {"gang": True, "one_rack": True}),
            ):
                with self.subTest(other=name, count=count, **extra):
                    pending_step = PendingStep(
                        state("new", count, 4, **extra), 0.0, avoided_servers=frozenset({"a"})
                    )
                    capacities = [empty_server("a"), other]
                    ((_, placement),) = plan_placements([pending_step], capacities, 10.0)
                    self.assertEqual(set(placement.places.values()), {"a"})

    def test_barred_server_waits_for_others(self) -> None:
        """Right after a failure a task waits for another server that may run it."""
        full = empty_server("b")
        add_task(full, "x", 8, priority=0, pinned=True)
        failed = frozenset({"a"})
        pending_step = PendingStep(
            state("new", 1, 4), 0.0, avoided_servers=failed, barred_servers=failed
        )
        self.assertEqual(plan_placements([pending_step], [empty_server("a"), full], 10.0), [])
        ((_, placement),) = plan_placements([pending_step], [empty_server("a")], 10.0)
        self.assertEqual(placement.places, {0: "a"})

    def test_quarantined_server_is_the_last_resort(self) -> None:
        """A quarantined server is used by a step that waits while most of its pool is idle.

        Neither at once, nor by a step that has just failed there, nor in a pool
        that is half used.
        """
        quarantined = empty_server("a")
        quarantined.schedulable, quarantined.quarantined = False, True
        full = empty_server("b")
        add_task(full, "x", 5, priority=0, pinned=True)
        cases = (
            ("waited", 1.0, frozenset(), [quarantined, full], {0: "a"}),
            ("at once", 0.9, frozenset(), [quarantined, full], None),
            ("failed there", 1.0, frozenset("a"), [quarantined, full], None),
            ("others have capacity", 1.0, frozenset(), [quarantined, empty_server("c")], {0: "c"}),
        )
        for name, now_s, barred, capacities, places in cases:
            with self.subTest(name):
                pending_step = PendingStep(
                    state("new", 1, 4), 0.0, avoided_servers=barred, barred_servers=barred
                )
                chosen = plan_placements([pending_step], capacities, now_s)
                self.assertEqual([p.places for _, p in chosen], [places] if places else [])
                for capacity in capacities:
                    capacity.reserved.clear()
        add_task(full, "y", 3, priority=0, pinned=True)
        pending_step = PendingStep(state("new", 1, 4), 0.0)
        self.assertEqual(plan_placements([pending_step], [quarantined, full], 1.0), [])


class TestLargeFleet(unittest.TestCase):
    """Test the cost of scheduling on large fleets."""

    def test_cost_grows_linearly_with_the_fleet(self) -> None:
        """Scheduling on ten times the servers costs about ten times as much.

        The cost is the number of calls of `free`, not time: each pending step
        may inspect every server a few times, but not once for each other step
        or victim.
        """
        calls = {}
        for servers in (24, 240):
            capacities = [empty_server(f"s{i}", f"r{i // 6}") for i in range(servers)]
            for capacity in capacities:
                for j in range(8):
                    add_task(capacity, f"{capacity.server}.{j}", 1)
            counted = CountingCapacity.convert(capacities)
            pending = [PendingStep(state(f"j{i}", 4, 8, gang=True), 0.0) for i in range(10)]
            self.assertTrue(plan_placements(pending, counted, 1.0))
            calls[servers] = CountingCapacity.free_calls
        self.assertLess(calls[240], 15 * calls[24])


class CountingCapacity(ServerCapacity):
    """Server capacity that counts the calls of `free`."""

    __slots__ = ()
    free_calls = 0

    @classmethod
    def convert(cls, capacities: list[ServerCapacity]) -> list[ServerCapacity]:
        """Make capacities count, starting from 0."""
        cls.free_calls = 0
        for capacity in capacities:
            capacity.__class__ = cls
        return capacities

    def free(self, *, excluding: str = "") -> Resources:
        """Count the call, and return the free resources."""
        CountingCapacity.free_calls += 1
        return super().free(excluding=excluding)


class TestGuarantee(unittest.TestCase):
    """Test which jobs a guarantee covers."""

    def test_oldest_jobs_are_covered(self) -> None:
        """A job beyond the guarantee is not covered; a smaller one after it may be."""
        states = [state("a", 1, 4), state("b", 2, 4), state("c", 2, 2), state("d", 1, 1)]
        self.assertEqual(guaranteed_jobs(states, {"w": 8}), {"a", "c"})

    def test_lower_priorities_are_not_covered(self) -> None:
        """A guarantee covers urgent jobs only."""
        self.assertEqual(guaranteed_jobs([state("a", 1, 1, priority=1)], {"w": 8}), set())


if __name__ == "__main__":
    unittest.main()
