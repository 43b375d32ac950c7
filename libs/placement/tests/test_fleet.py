"""Check that guarantees survive whatever is placed and released."""

import random
import unittest

from test_pack import PER_RACK, SIZE, brute_force

from catkinknot.placement import Fleet, ServerSpec

SHAPES = (("a", 4), ("b", 8), ("c", 2))


def small_fleet() -> Fleet:
    """Build two racks of two servers with some guarantees."""
    fleet = Fleet([ServerSpec(f"s{n}", n // PER_RACK, SIZE) for n in range(4)])
    fleet.set_shapes(SHAPES)
    return fleet


def reclaimable(fleet: Fleet) -> bool:
    """Tell by brute force whether all unbound shapes could be given at once."""
    free = {f"s{n}": (1 << SIZE) - 1 for n in range(4)}
    for allocation in fleet.allocations.values():
        if allocation.shape is None and not allocation.preemptible:
            for part in allocation.placement.slices:
                free[part.server] &= ~part.mask
    unbound = []
    for shape in fleet._shapes:
        if shape.placement is None:
            unbound.append(shape.accelerators)
            continue
        for part in shape.placement.slices:
            free[part.server] &= ~part.mask
    return brute_force(tuple(free.values()), tuple(sorted(unbound)[::-1]))


def run_history(seed: int, case: unittest.TestCase) -> None:
    """Place and release gangs at random and check after each step."""
    rng = random.Random(seed)
    fleet = small_fleet()
    for number in range(40):
        if fleet.allocations and rng.random() < 0.4:
            fleet.release(rng.choice(list(fleet.allocations)))
        else:
            _place_at_random(fleet, rng, f"j{number}")
        case.assertTrue(reclaimable(fleet), f"seed {seed}, step {number}")


def _place_at_random(fleet: Fleet, rng: random.Random, name: str) -> None:
    """Place one gang if there is a place."""
    size = rng.choice((1, 2, 4, 8))
    preemptible = rng.random() < 0.6
    workspace = rng.choice("abc")
    plan = None
    if rng.random() < 0.6:
        plan = fleet.find_guaranteed(workspace, size, cost=lambda _: rng.random())
    if plan is None:
        plan = fleet.find_free(size, preemptible=preemptible)
    if plan is None:
        return
    for victim in plan.victims:
        fleet.release(victim)
    fleet.allocate(name, workspace, plan, preemptible=preemptible)


class TestInvariant(unittest.TestCase):
    """Check the guarantee invariant."""

    def test_holds_after_every_step(self):
        """Whatever runs, all unbound shapes can be given at once."""
        for seed in range(400):
            with self.subTest(seed=seed):
                run_history(seed, self)

    def test_owner_always_gets_its_shape(self):
        """A full fleet of borrowers gives way to every shape of every owner."""
        fleet = small_fleet()
        for number in range(16):
            plan = fleet.find_free(1, preemptible=True)
            fleet.allocate(f"borrower{number}", "d", plan, preemptible=True)
        for number, (workspace, size) in enumerate(sorted(SHAPES, key=lambda s: -s[1])):
            plan = fleet.find_guaranteed(workspace, size, cost=lambda _: 1.0)
            for victim in plan.victims:
                fleet.release(victim)
            fleet.allocate(f"owner{number}", workspace, plan, preemptible=False)
        self.assertEqual(fleet.unhonoured(), ())


class TestHolds(unittest.TestCase):
    """Check places that are kept while victims stop."""

    def test_nobody_else_gets_a_held_place(self):
        """A held place is neither free nor claimable."""
        fleet = small_fleet()
        plan = fleet.find_guaranteed("b", 8, cost=lambda _: 0.0)
        fleet.hold("job", plan)
        taken = {part.server for part in plan.placement.slices}
        while (other := fleet.find_free(4, preemptible=True)) is not None:
            self.assertFalse(taken & {part.server for part in other.placement.slices})
            fleet.allocate(f"x{len(fleet.allocations)}", "d", other, preemptible=True)
        self.assertTrue(fleet.hold_ready("job"))

    def test_dropping_a_hold_frees_the_guarantee(self):
        """After a hold is dropped the shape can be given again."""
        fleet = small_fleet()
        fleet.hold("job", fleet.find_guaranteed("b", 8, cost=lambda _: 0.0))
        self.assertFalse(fleet.fits_guarantee("b", 8))
        fleet.drop_hold("job")
        self.assertTrue(fleet.fits_guarantee("b", 8))


class TestServers(unittest.TestCase):
    """Check servers that come and go."""

    def test_lost_server_is_said_at_once(self):
        """Guarantees that have no room left are named."""
        fleet = small_fleet()
        for server in ("s0", "s2"):
            fleet.set_cordoned(server, True)
        self.assertEqual(fleet.unhonoured(), (8,))

    def test_large_gang_spans_servers_of_one_rack(self):
        """A gang larger than a server gets whole servers of one rack."""
        plan = small_fleet().find_free(8, preemptible=True)
        self.assertEqual({part.server for part in plan.placement.slices}, {"s0", "s1"})

    def test_across_racks_only_when_allowed(self):
        """A gang larger than a rack needs leave to span neighbours."""
        fleet = small_fleet()
        self.assertIsNone(fleet.find_free(16, preemptible=True))
        self.assertEqual(
            fleet.find_free(16, preemptible=True, across_racks=True).placement.accelerators, 16
        )
