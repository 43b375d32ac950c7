"""Tests that compare the packing of guaranteed shapes with brute force."""

import itertools
import unittest
from functools import cache

from hypothesis import given, settings
from hypothesis import strategies as st

from catkinknot.placement import FreeCapacity, unpacked_shapes

SIZE = 4
PER_RACK = 2
WHOLE = (1 << SIZE) - 1


@cache
def _cells(shape: int) -> tuple[int, ...]:
    """List the aligned positions of a shape in one server."""
    step = 1 << (shape - 1).bit_length()
    return tuple(((1 << shape) - 1) << at for at in range(0, SIZE - shape + 1, step))


def _remaining_after(free: tuple[int, ...], shape: int):
    """Yield the free accelerators that remain after each placement of a shape."""
    if shape <= SIZE:
        for index, mask in itertools.product(range(len(free)), _cells(shape)):
            if free[index] & mask == mask:
                yield (*free[:index], free[index] & ~mask, *free[index + 1 :])
        return
    servers_needed = -(-shape // SIZE)
    for rack in range(0, len(free), PER_RACK):
        whole = [n for n in range(rack, rack + PER_RACK) if free[n] == WHOLE]
        for chosen in itertools.combinations(whole, servers_needed):
            yield tuple(0 if n in chosen else mask for n, mask in enumerate(free))


def brute_force(free: tuple[int, ...], shapes: tuple[int, ...]) -> bool:
    """Return whether all shapes fit, by trying every combination of placements."""
    if not shapes:
        return True
    return any(
        brute_force(remaining, shapes[1:]) for remaining in _remaining_after(free, shapes[0])
    )


FREE = st.lists(st.integers(0, WHOLE), min_size=4, max_size=4).map(tuple)
SHAPES = st.lists(st.sampled_from([1, 2, 4, 8]), max_size=5).map(lambda s: tuple(sorted(s)[::-1]))


class TestAgainstBruteForce(unittest.TestCase):
    """Tests that packing is exact for shapes of a power of two and safe for others."""

    @settings(max_examples=3000, derandomize=True, deadline=None)
    @given(free=FREE, shapes=SHAPES)
    def test_matches_brute_force(self, free, shapes):
        """Shapes of a power of two are packed if and only if brute force can place them."""
        capacities = [FreeCapacity(n // PER_RACK, SIZE, mask) for n, mask in enumerate(free)]
        self.assertEqual(not unpacked_shapes(capacities, shapes), brute_force(free, shapes))

    @settings(max_examples=500, derandomize=True, deadline=None)
    @given(free=FREE, shapes=st.lists(st.sampled_from([1, 2, 3, 4, 6, 8]), max_size=4))
    def test_never_reports_false_fit(self, free, shapes):
        """Shapes of other sizes may be reported as not fitting, but never wrongly as fitting."""
        capacities = [FreeCapacity(n // PER_RACK, SIZE, mask) for n, mask in enumerate(free)]
        if not unpacked_shapes(capacities, shapes):
            self.assertTrue(brute_force(free, tuple(sorted(shapes)[::-1])))
