"""Tests that guarantees can be reclaimed after any placements and releases."""

import random
import unittest

from test_pack import PER_RACK, SIZE, brute_force

from catkinknot.placement import Fleet, ServerSpec

SHAPES = (("a", 4), ("b", 8), ("c", 2))


def small_fleet() -> Fleet:
    """Return a fleet of two racks of two servers with some guarantees."""
    fleet = Fleet([ServerSpec(f"s{n}", n // PER_RACK, SIZE) for n in range(4)])
    fleet.set_shapes(SHAPES)
    return fleet


def all_reclaimable(fleet: Fleet) -> bool:
    """Return by brute force whether all unbound shapes can be reclaimed at once."""
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


def run_random_history(seed: int, case: unittest.TestCase) -> None:
    """Place and release random gangs and check the invariant after each step."""
    rng = random.Random(seed)
    fleet = small_fleet()
    for number in range(40):
        if fleet.allocations and rng.random() < 0.4:
            fleet.release(rng.choice(list(fleet.allocations)))
        else:
            _place_random_gang(fleet, rng, f"j{number}")
        case.assertTrue(all_reclaimable(fleet), f"seed {seed}, step {number}")


def _place_random_gang(fleet: Fleet, rng: random.Random, name: str) -> None:
    """Place a random gang if it fits."""
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
    """Tests of the invariant that all guaranteed shapes can be reclaimed."""

    def test_guarantees_are_reclaimable_after_every_step(self):
        """No sequence of placements and releases may leave an unbound shape unplaceable."""
        for seed in range(400):
            with self.subTest(seed=seed):
                run_random_history(seed, self)

    def test_owner_reclaims_shape_from_full_fleet(self):
        """On a fleet full of borrowers, every owner can still claim each of its shapes."""
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
    """Tests of placements that are held while victims stop."""

    def test_held_placement_is_not_given_to_others(self):
        """A free placement for another gang must not overlap a held one."""
        fleet = small_fleet()
        plan = fleet.find_guaranteed("b", 8, cost=lambda _: 0.0)
        fleet.hold("job", plan)
        held_servers = {part.server for part in plan.placement.slices}
        while (other := fleet.find_free(4, preemptible=True)) is not None:
            self.assertFalse(held_servers & {part.server for part in other.placement.slices})
            fleet.allocate(f"x{len(fleet.allocations)}", "d", other, preemptible=True)
        self.assertTrue(fleet.hold_ready("job"))

    def test_dropping_hold_frees_guarantee(self):
        """A dropped hold must unbind its shape, so that the guarantee can be used again."""
        fleet = small_fleet()
        fleet.hold("job", fleet.find_guaranteed("b", 8, cost=lambda _: 0.0))
        self.assertFalse(fleet.fits_guarantee("b", 8))
        fleet.drop_hold("job")
        self.assertTrue(fleet.fits_guarantee("b", 8))


class TestServers(unittest.TestCase):
    """Tests of cordoned servers and of gangs that span servers."""

    def test_cordoned_servers_show_unhonoured_shapes(self):
        """Shapes that no longer fit after servers are cordoned are reported at once."""
        fleet = small_fleet()
        for server in ("s0", "s2"):
            fleet.set_cordoned(server, True)
        self.assertEqual(fleet.unhonoured(), (8,))

    def test_large_gang_spans_servers_of_one_rack(self):
        """A gang larger than a server is placed on whole servers of one rack."""
        plan = small_fleet().find_free(8, preemptible=True)
        self.assertEqual({part.server for part in plan.placement.slices}, {"s0", "s1"})

    def test_gang_spans_racks_only_when_allowed(self):
        """A gang larger than a rack is placed only if it may span adjacent racks."""
        fleet = small_fleet()
        self.assertIsNone(fleet.find_free(16, preemptible=True))
        self.assertEqual(
            fleet.find_free(16, preemptible=True, across_racks=True).placement.accelerators, 16
        )
