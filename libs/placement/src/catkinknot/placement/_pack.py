"""Decide whether guaranteed shapes fit into what is left of a zone."""

from collections.abc import Sequence
from dataclasses import dataclass

from ._cells import cell_size, free_levels

__all__ = ["FreeCapacity", "unpacked_shapes"]

_SEARCH_STEPS = 5000
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


def unpacked_shapes(rooms: Sequence[FreeCapacity], shapes: Sequence[int]) -> tuple[int, ...]:
    """Pack shapes and return those that do not fit.

    The answer is exact for shapes of a power of two up to one server, and for
    whole servers of one rack as far as the search gets. Other shapes count as
    the next larger cell, so the answer errs towards "does not fit".

    Args:
        rooms: What is available.
        shapes: Adjacent accelerators of each shape.

    Returns:
        The shapes that found no place, largest first; empty when all fit.
    """
    if not shapes:
        return ()
    per_server = max((room.size for room in rooms), default=0)
    racks = _whole_servers(rooms, per_server)
    small = sorted((s for s in shapes if s <= per_server), reverse=True)
    wholes = sorted((s for s in shapes if s > per_server), reverse=True)
    missing = _pack_wholes(racks, wholes, per_server, _rack_size(rooms))
    return (*missing, *_pack_cells(rooms, racks, small, per_server))


def _rack_size(rooms: Sequence[FreeCapacity]) -> int:
    """Return the number of servers in the largest rack."""
    counts: dict[int, int] = {}
    for room in rooms:
        counts[room.rack] = counts.get(room.rack, 0) + 1
    return max(counts.values(), default=0)


def _whole_servers(rooms: Sequence[FreeCapacity], per_server: int) -> dict[int, int]:
    """Count the servers of each rack that are available as a whole."""
    whole = (1 << per_server) - 1
    racks: dict[int, int] = {}
    for room in rooms:
        is_whole = room.size == per_server and room.free == whole
        racks[room.rack] = racks.get(room.rack, 0) + is_whole
    return racks


def _pack_wholes(
    racks: dict[int, int], shapes: list[int], per_server: int, rack_size: int
) -> list[int]:
    """Take whole servers for the shapes that are larger than one server.

    Args:
        racks: Whole servers of each rack; what is taken is subtracted.
        shapes: The shapes, largest first.
        per_server: Accelerators in one server.
        rack_size: Servers in one rack.

    Returns:
        The shapes that found no place.
    """
    missing = []
    inside = []
    for shape in shapes:
        servers = -(-shape // per_server)
        if servers > rack_size:
            if not _take_window(racks, servers, rack_size):
                missing.append(shape)
        else:
            inside.append((servers, shape))
    if _search(racks, [servers for servers, _ in inside]):
        _take_any(racks, sum(servers for servers, _ in inside))
        return missing
    for servers, shape in inside:
        if not _take_rack(racks, servers):
            missing.append(shape)
    return missing


def _take_any(racks: dict[int, int], servers: int) -> None:
    """Take whole servers from any racks, as only their number matters now."""
    for rack, whole in racks.items():
        taken = min(whole, servers)
        racks[rack] -= taken
        servers -= taken


def _take_window(racks: dict[int, int], servers: int, rack_size: int) -> bool:
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


def _take_rack(racks: dict[int, int], servers: int) -> bool:
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


def _search(racks: dict[int, int], sizes: list[int]) -> bool:
    """Tell whether groups of whole servers fit into racks, trying every way.

    Racks with as many whole servers are alike, so only their numbers are kept.

    Args:
        racks: Whole servers of each rack.
        sizes: Servers of each group, largest first.

    Returns:
        Whether all fit, as far as the bound on steps allows to tell.
    """
    alike = [0] * (max(racks.values(), default=0) + 1)
    for whole in racks.values():
        alike[whole] += 1
    return _place_next(alike, sizes, 0, [_SEARCH_STEPS])


def _place_next(alike: list[int], sizes: list[int], at: int, steps: list[int]) -> bool:
    """Place one group and all after it, in the tightest racks first.

    Args:
        alike: How many racks have so many whole servers left.
        sizes: Servers of each group, largest first.
        at: The group to place.
        steps: How many tries are left, in its only item.

    Returns:
        Whether all were placed.
    """
    if at == len(sizes):
        return True
    for whole in range(sizes[at], len(alike)):
        if alike[whole] == 0:
            continue
        steps[0] -= 1
        if steps[0] < 0:
            return False
        alike[whole] -= 1
        alike[whole - sizes[at]] += 1
        if _place_next(alike, sizes, at + 1, steps):
            return True
        alike[whole] += 1
        alike[whole - sizes[at]] -= 1
    return False


def _pack_cells(
    rooms: Sequence[FreeCapacity], racks: dict[int, int], shapes: list[int], per_server: int
) -> list[int]:
    """Pack the shapes that fit into one server.

    Args:
        rooms: What is available.
        racks: Whole servers of each rack that are still untaken.
        shapes: The shapes, largest first.
        per_server: Accelerators in one server.

    Returns:
        The shapes that found no place.
    """
    whole = (1 << per_server) - 1
    counts = [0] * (cell_size(per_server).bit_length())
    for room in rooms:
        if room.size == per_server and room.free == whole:
            continue
        for level, count in enumerate(free_levels(room.size, room.free)):
            counts[level] += count
    untaken = sum(racks.values())
    for level, count in enumerate(free_levels(per_server, whole)):
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
    want = cell_size(shape).bit_length() - 1
    level = want
    while level < len(counts) and counts[level] == 0:
        level += 1
    if level == len(counts):
        return False
    counts[level] -= 1
    for split in range(want, level):
        counts[split] += 1
    return True
