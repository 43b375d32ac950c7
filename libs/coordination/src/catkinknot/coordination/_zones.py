"""Find the availability zones that may be cut off."""

from collections import defaultdict
from collections.abc import Iterable

from loguru import logger

from ._views import ServerView

__all__ = ["SuspectZones"]

SUSPECT_SERVER_COUNT = 3
"""Unresponsive servers of an availability zone from which the zone may be cut off."""

_LOG = logger.bind(part="board")


class SuspectZones:
    """Availability zones that may be cut off."""

    def __init__(self) -> None:
        """Suspect no zone."""
        self._suspects: set[str] = set()

    def update(self, servers: Iterable[ServerView]) -> set[str]:
        """Return the zones that may be cut off now, and log what has changed."""
        zones = _find(servers)
        for zone in sorted(zones - self._suspects):
            _LOG.bind(zone=zone).warning("A zone may be cut off; it gets no new work.")
        for zone in sorted(self._suspects - zones):
            _LOG.bind(zone=zone).info("A zone that may have been cut off gets work again.")
        self._suspects = zones
        return zones


def _find(servers: Iterable[ServerView]) -> set[str]:
    """Return the zones that may be cut off.

    Several of their servers are unresponsive, and none has answered since
    the first of these fell silent. The others have no runs, so no call has
    shown yet whether they answer, and a gang would be started in vain.
    """
    silent_since_s: dict[str, list[float]] = defaultdict(list)
    answered_s: dict[str, float] = defaultdict(lambda: float("-inf"))
    for view in servers:
        if view.listing is None or not view.listed:
            continue
        zone = view.listing.zone
        if view.unresponsive_since_s is not None:
            silent_since_s[zone].append(view.unresponsive_since_s)
        if view.last_response_s is not None:
            answered_s[zone] = max(answered_s[zone], view.last_response_s)
    return {
        zone
        for zone, since_s in silent_since_s.items()
        if len(since_s) >= SUSPECT_SERVER_COUNT and answered_s[zone] < min(since_s)
    }
