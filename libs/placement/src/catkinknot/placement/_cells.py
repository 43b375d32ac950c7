"""Divide the accelerators of one server into aligned cells.

The placement of n accelerators starts at a multiple of the next power of two.
Cells of different sizes are therefore either nested or disjoint, which makes
packing them exact. This is buddy allocation, which the cell hierarchy of HiveD
(OSDI 2020) uses for guarantees.
"""

from functools import cache

__all__ = [
    "accelerator_count",
    "best_cell",
    "cell_masks",
    "cell_size",
    "free_cell_counts",
    "largest_cell",
]


def cell_size(accelerators: int) -> int:
    """Return the size of the smallest cell for a number of accelerators.

    Args:
        accelerators: One or more.

    Returns:
        The next power of two.
    """
    return 1 << (accelerators - 1).bit_length()


@cache
def cell_masks(server_size: int, accelerators: int) -> tuple[int, ...]:
    """List the aligned positions of some adjacent accelerators in one server.

    Args:
        server_size: Accelerators in the server.
        accelerators: Adjacent accelerators needed, at most the server's.

    Returns:
        A bit mask for each position, lowest first.
    """
    step = cell_size(accelerators)
    block = (1 << accelerators) - 1
    starts = range(0, server_size - accelerators + 1, step)
    return tuple(block << start for start in starts)


@cache
def free_cell_counts(server_size: int, free: int) -> tuple[int, ...]:
    """Divide the free accelerators into the largest aligned cells and count them.

    Args:
        server_size: Accelerators in the server.
        free: A bit mask of the free accelerators.

    Returns:
        The number of cells of 1, 2, 4, ... accelerators.
    """
    top = cell_size(server_size).bit_length() - 1
    counts = [0] * (top + 1)
    _count_cells(free, 0, top, counts)
    return tuple(counts)


@cache
def largest_cell(server_size: int, free: int, mask: int) -> int:
    """Return the size of the largest free cell that contains a position.

    Args:
        server_size: Accelerators in the server.
        free: A bit mask of the free accelerators.
        mask: A bit mask of the position, all of it free.

    Returns:
        The number of accelerators in the cell.
    """
    size = cell_size(server_size)
    while size > 1:
        for start in range(0, cell_size(server_size), size):
            block = ((1 << size) - 1) << start
            if block & mask == mask and block & free == block:
                return size
        size >>= 1
    return 1


@cache
def best_cell(server_size: int, free: int, accelerators: int) -> tuple[int, int] | None:
    """Find the position in one server that splits the smallest free cell.

    Args:
        server_size: Accelerators in the server.
        free: A bit mask of the free accelerators.
        accelerators: Adjacent accelerators needed.

    Returns:
        The size of the cell and a bit mask of the position, or None when the
        accelerators do not fit.
    """
    if accelerators > server_size:
        return None
    fitting = [mask for mask in cell_masks(server_size, accelerators) if mask & free == mask]
    ranked = [(largest_cell(server_size, free, mask), mask) for mask in fitting]
    return min(ranked, default=None)


def accelerator_count(mask: int) -> int:
    """Return the number of accelerators in a bit mask."""
    return mask.bit_count()


def _count_cells(free: int, start: int, level: int, counts: list[int]) -> None:
    """Count the largest free cells inside one cell.

    Args:
        free: A bit mask of the free accelerators.
        start: The first accelerator of the cell.
        level: The binary logarithm of the cell's size.
        counts: The number of cells of each level, which is added to.
    """
    block = ((1 << (1 << level)) - 1) << start
    inside = free & block
    if inside == 0:
        return
    if inside == block:
        counts[level] += 1
        return
    half = 1 << (level - 1)
    _count_cells(free, start, level - 1, counts)
    _count_cells(free, start + half, level - 1, counts)
