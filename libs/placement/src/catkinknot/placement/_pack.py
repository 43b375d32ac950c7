"""Check whether guaranteed shapes fit into the available accelerators of a zone."""

from collections.abc import Sequence
from dataclasses import dataclass

from ._cells import cell_size, free_cell_counts

__all__ = ["FreeCapacity", "unpacked_shapes"]

_MAX_SEARCH_STEPS = 5000
"""Limit of the exact search for whole servers; after it, shapes are packed greedily."""


@dataclass(frozen=True)
class FreeCapacity:
    """Available accelerators of one server.

    Attributes:
        rack: Number of the server's rack along the row.
        size: Number of accelerators in the server.
        free: Bit mask of the available accelerators.
    """

    rack: int
    size: int
    free: int


def unpacked_shapes(capacities: Sequence[FreeCapacity], shapes: Sequence[int]) -> tuple[int, ...]:
    """Pack shapes and return those that do not fit.

    The result is exact for shapes of a power of two up to one server, and for
    whole servers within one rack unless the search reaches its step limit.
    Other shapes count as the next larger cell, so that a shape may be reported
    as not fitting although it would, but never the reverse.

    Args:
        capacities: The available accelerators of each server.
        shapes: The number of adjacent accelerators in each shape.

    Returns:
        The shapes that do not fit, largest first; empty when all fit.
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
    """Count the fully available servers of each rack."""
    whole = (1 << server_size) - 1
    racks: dict[int, int] = {}
    for capacity in capacities:
        is_whole = capacity.size == server_size and capacity.free == whole
        racks[capacity.rack] = racks.get(capacity.rack, 0) + is_whole
    return racks


def _pack_whole_servers(
    racks: dict[int, int], shapes: list[int], server_size: int, rack_size: int
) -> list[int]:
    """Pack the shapes that are larger than one server into whole servers.

    Args:
        racks: Whole servers of each rack, from which those taken are subtracted.
        shapes: The shapes, largest first.
        server_size: Accelerators in one server.
        rack_size: Servers in one rack.

    Returns:
        The shapes that do not fit.
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
    """Take whole servers from any racks.

    Only their total matters after the shapes were found to fit.
    """
    for rack, whole in racks.items():
        taken = min(whole, servers)
        racks[rack] -= taken
        servers -= taken


def _take_from_adjacent_racks(racks: dict[int, int], servers: int, rack_size: int) -> bool:
    """Take whole servers from the first run of adjacent racks that has enough.

    Args:
        racks: Whole servers of each rack.
        servers: The number of servers to take.
        rack_size: Servers in one rack.

    Returns:
        Whether a run had enough.
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
    """Take whole servers from the rack with the fewest that has enough.

    Args:
        racks: Whole servers of each rack.
        servers: The number of servers to take.

    Returns:
        Whether a rack had enough.
    """
    fitting = [rack for rack, whole in racks.items() if whole >= servers]
    if not fitting:
        return False
    racks[min(fitting, key=lambda rack: racks[rack])] -= servers
    return True


def _fits_in_racks(racks: dict[int, int], sizes: list[int]) -> bool:
    """Return whether groups of whole servers fit into racks, by exhaustive search.

    Racks with the same number of whole servers are interchangeable, so the
    search only keeps how many racks there are of each number.

    Args:
        racks: Whole servers of each rack.
        sizes: Servers in each group, largest first.

    Returns:
        Whether all groups fit; False when the search reached its step limit.
    """
    rack_counts = [0] * (max(racks.values(), default=0) + 1)
    for whole in racks.values():
        rack_counts[whole] += 1
    return _place_from(rack_counts, sizes, 0, [_MAX_SEARCH_STEPS])


def _place_from(
    rack_counts: list[int], sizes: list[int], index: int, steps_left: list[int]
) -> bool:
    """Place a group and all following ones, trying the racks with the best fit first.

    Args:
        rack_counts: The number of racks by their number of unused whole servers.
        sizes: Servers in each group, largest first.
        index: The index of the group.
        steps_left: A list whose only item is the number of steps left.

    Returns:
        Whether all groups were placed.
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
    """Pack the shapes of at most one server.

    Args:
        capacities: The available accelerators of each server.
        racks: The unused whole servers of each rack.
        shapes: The shapes, largest first.
        server_size: Accelerators in one server.

    Returns:
        The shapes that do not fit.
    """
    whole = (1 << server_size) - 1
    counts = [0] * (cell_size(server_size).bit_length())
    for capacity in capacities:
        if capacity.size == server_size and capacity.free == whole:
            continue
        for level, count in enumerate(free_cell_counts(capacity.size, capacity.free)):
            counts[level] += count
    unused = sum(racks.values())
    for level, count in enumerate(free_cell_counts(server_size, whole)):
        counts[level] += count * unused
    return [shape for shape in shapes if not _take_cell(counts, shape)]


def _take_cell(counts: list[int], shape: int) -> bool:
    """Take the smallest free cell for a shape, splitting a larger one if needed.

    Args:
        counts: The number of free cells of 1, 2, 4, ... accelerators.
        shape: The number of accelerators in the shape.

    Returns:
        Whether a cell was large enough.
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
