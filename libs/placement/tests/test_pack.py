"""Compare the packing of guaranteed shapes with brute force."""

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
    """List the aligned places of a shape in one server."""
    step = 1 << (shape - 1).bit_length()
    return tuple(((1 << shape) - 1) << at for at in range(0, SIZE - shape + 1, step))


def _ways(free: tuple[int, ...], shape: int):
    """Yield what is left after each way to place a shape."""
    if shape <= SIZE:
        for place, mask in itertools.product(range(len(free)), _cells(shape)):
            if free[place] & mask == mask:
                yield (*free[:place], free[place] & ~mask, *free[place + 1 :])
        return
    need = -(-shape // SIZE)
    for rack in range(0, len(free), PER_RACK):
        whole = [n for n in range(rack, rack + PER_RACK) if free[n] == WHOLE]
        for chosen in itertools.combinations(whole, need):
            yield tuple(0 if n in chosen else mask for n, mask in enumerate(free))


def brute_force(free: tuple[int, ...], shapes: tuple[int, ...]) -> bool:
    """Tell whether all shapes fit, by trying every way."""
    if not shapes:
        return True
    return any(brute_force(left, shapes[1:]) for left in _ways(free, shapes[0]))


FREE = st.lists(st.integers(0, WHOLE), min_size=4, max_size=4).map(tuple)
SHAPES = st.lists(st.sampled_from([1, 2, 4, 8]), max_size=5).map(lambda s: tuple(sorted(s)[::-1]))


class TestAgainstBruteForce(unittest.TestCase):
    """Check that packing is exact for shapes of a power of two."""

    @settings(max_examples=3000, derandomize=True, deadline=None)
    @given(free=FREE, shapes=SHAPES)
    def test_same_answer(self, free, shapes):
        """What fits by brute force fits by counting, and nothing else does."""
        capacities = [FreeCapacity(n // PER_RACK, SIZE, mask) for n, mask in enumerate(free)]
        self.assertEqual(not unpacked_shapes(capacities, shapes), brute_force(free, shapes))

    @settings(max_examples=500, derandomize=True, deadline=None)
    @given(free=FREE, shapes=st.lists(st.sampled_from([1, 2, 3, 4, 6, 8]), max_size=4))
    def test_never_unsafe(self, free, shapes):
        """Other shapes may be refused needlessly, never allowed wrongly."""
        capacities = [FreeCapacity(n // PER_RACK, SIZE, mask) for n, mask in enumerate(free)]
        if not unpacked_shapes(capacities, shapes):
            self.assertTrue(brute_force(free, tuple(sorted(shapes)[::-1])))
