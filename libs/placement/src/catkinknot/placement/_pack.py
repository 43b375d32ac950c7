"""Decide whether guaranteed shapes fit into what is left of a zone."""

from collections.abc import Sequence
from dataclasses import dataclass

from ._cells import cell_size, free_cell_counts

__all__ = ["FreeCapacity", "unpacked_shapes"]

_MAX_SEARCH_STEPS = 5000
"""Give up an exact search for whole servers after this many steps."""


@dataclass(frozen=True)
class FreeCapacity:
    """Describe what is available in one server.

    Attributes:
        rack: The server's rack, numbered along the row.
        size: Accelerators in the server.
        free: A bit mask of the available ones.
    """

    rack: int
    size: int
    free: int


def unpacked_shapes(capacities: Sequence[FreeCapacity], shapes: Sequence[int]) -> tuple[int, ...]:
    """Pack shapes and return those that do not fit.

    The answer is exact for shapes of a power of two up to one server, and for
    whole servers of one rack as far as the search gets. Other shapes count as
    the next larger cell, so the answer errs towards "does not fit".

    Args:
        capacities: What is available.
        shapes: Adjacent accelerators of each shape.

    Returns:
        The shapes that found no place, largest first; empty when all fit.
    """
    if not shapes:
        return ()
    server_size = max((capacity.size for capacity in capacities), default=0)
    racks = _whole_servers(capacities, server_size)
    single_server = sorted((s for s in shapes if s <= server_size), reverse=True)
    multi_server = sorted((s for s in shapes if s > server_size), reverse=True)
    unpacked = _pack_whole_servers(racks, multi_server, server_size, _rack_size(capacities))
    return (*unpacked, *_pack_cells(capacities, racks, single_server, server_size))


def _rack_size(capacities: Sequence[FreeCapacity]) -> int:
    """Return the number of servers in the largest rack."""
    counts: dict[int, int] = {}
    for capacity in capacities:
        counts[capacity.rack] = counts.get(capacity.rack, 0) + 1
    return max(counts.values(), default=0)


def _whole_servers(capacities: Sequence[FreeCapacity], server_size: int) -> dict[int, int]:
    """Count the servers of each rack that are available as a whole."""
    whole = (1 << server_size) - 1
    racks: dict[int, int] = {}
    for capacity in capacities:
        is_whole = capacity.size == server_size and capacity.free == whole
        racks[capacity.rack] = racks.get(capacity.rack, 0) + is_whole
    return racks


def _pack_whole_servers(
    racks: dict[int, int], shapes: list[int], server_size: int, rack_size: int
) -> list[int]:
    """Take whole servers for the shapes that are larger than one server.

    Args:
        racks: Whole servers of each rack; what is taken is subtracted.
        shapes: The shapes, largest first.
        server_size: Accelerators in one server.
        rack_size: Servers in one rack.

    Returns:
        The shapes that found no place.
    """
    unpacked = []
    single_rack = []
    for shape in shapes:
        servers = -(-shape // server_size)
        if servers > rack_size:
            if not _take_from_adjacent_racks(racks, servers, rack_size):
                unpacked.append(shape)
        else:
            single_rack.append((servers, shape))
    if _fits_in_racks(racks, [servers for servers, _ in single_rack]):
        _take_from_any_racks(racks, sum(servers for servers, _ in single_rack))
        return unpacked
    for servers, shape in single_rack:
        if not _take_from_one_rack(racks, servers):
            unpacked.append(shape)
    return unpacked


def _take_from_any_racks(racks: dict[int, int], servers: int) -> None:
    """Take whole servers from any racks, as only their number matters now."""
    for rack, whole in racks.items():
        taken = min(whole, servers)
        racks[rack] -= taken
        servers -= taken


def _take_from_adjacent_racks(racks: dict[int, int], servers: int, rack_size: int) -> bool:
    """Take whole servers from the first run of neighbouring racks with enough.

    Args:
        racks: Whole servers of each rack.
        servers: How many to take.
        rack_size: Servers in one rack.

    Returns:
        Whether there was such a run.
    """
    order = sorted(racks)
    span = -(-servers // rack_size) + 1
    for first in range(len(order)):
        window = order[first : first + span]
        if sum(racks[rack] for rack in window) >= servers:
            for rack in window:
                taken = min(racks[rack], servers)
                racks[rack] -= taken
                servers -= taken
            return True
    return False


def _take_from_one_rack(racks: dict[int, int], servers: int) -> bool:
    """Take whole servers from the fullest rack that has enough.

    Args:
        racks: Whole servers of each rack.
        servers: How many to take.

    Returns:
        Whether a rack had enough.
    """
    fitting = [rack for rack, whole in racks.items() if whole >= servers]
    if not fitting:
        return False
    racks[min(fitting, key=lambda rack: racks[rack])] -= servers
    return True


def _fits_in_racks(racks: dict[int, int], sizes: list[int]) -> bool:
    """Tell whether groups of whole servers fit into racks, trying every way.

    Racks with as many whole servers are alike, so only their numbers are kept.

    Args:
        racks: Whole servers of each rack.
        sizes: Servers of each group, largest first.

    Returns:
        Whether all fit, as far as the bound on steps allows to tell.
    """
    rack_counts = [0] * (max(racks.values(), default=0) + 1)
    for whole in racks.values():
        rack_counts[whole] += 1
    return _place_from(rack_counts, sizes, 0, [_MAX_SEARCH_STEPS])


def _place_from(
    rack_counts: list[int], sizes: list[int], index: int, steps_left: list[int]
) -> bool:
    """Place one group and all after it, in the tightest racks first.

    Args:
        rack_counts: How many racks have so many whole servers left.
        sizes: Servers of each group, largest first.
        index: The group to place.
        steps_left: How many tries are left, in its only item.

    Returns:
        Whether all were placed.
    """
    if index == len(sizes):
        return True
    for whole in range(sizes[index], len(rack_counts)):
        if rack_counts[whole] == 0:
            continue
        steps_left[0] -= 1
        if steps_left[0] < 0:
            return False
        rack_counts[whole] -= 1
        rack_counts[whole - sizes[index]] += 1
        if _place_from(rack_counts, sizes, index + 1, steps_left):
            return True
        rack_counts[whole] += 1
        rack_counts[whole - sizes[index]] -= 1
    return False


def _pack_cells(
    capacities: Sequence[FreeCapacity], racks: dict[int, int], shapes: list[int], server_size: int
) -> list[int]:
    """Pack the shapes that fit into one server.

    Args:
        capacities: What is available.
        racks: Whole servers of each rack that are still untaken.
        shapes: The shapes, largest first.
        server_size: Accelerators in one server.

    Returns:
        The shapes that found no place.
    """
    whole = (1 << server_size) - 1
    counts = [0] * (cell_size(server_size).bit_length())
    for capacity in capacities:
        if capacity.size == server_size and capacity.free == whole:
            continue
        for level, count in enumerate(free_cell_counts(capacity.size, capacity.free)):
            counts[level] += count
    untaken = sum(racks.values())
    for level, count in enumerate(free_cell_counts(server_size, whole)):
        counts[level] += count * untaken
    return [shape for shape in shapes if not _take_cell(counts, shape)]


def _take_cell(counts: list[int], shape: int) -> bool:
    """Take the smallest cell that holds a shape, splitting a larger one.

    Args:
        counts: Free cells of 1, 2, 4, ... accelerators.
        shape: Accelerators wanted.

    Returns:
        Whether there was one.
    """
    wanted_level = cell_size(shape).bit_length() - 1
    level = wanted_level
    while level < len(counts) and counts[level] == 0:
        level += 1
    if level == len(counts):
        return False
    counts[level] -= 1
    for split in range(wanted_level, level):
        counts[split] += 1
    return True
