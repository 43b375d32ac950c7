"""Place gangs by first fit, as a baseline for comparison."""

from ._fleet import Fleet, Placement

__all__ = ["FirstFitFleet"]


class FirstFitFleet(Fleet):
    """Fleet that uses the first placement that fits and ignores guarantees."""

    def _free_placements(
        self, accelerators: int, across_racks: bool, avoid: frozenset[str]
    ) -> list[Placement]:
        """List the free placements in the order of the servers."""
        usable = {
            s.server_spec.server: 0 if s.server_spec.server in avoid else s.free
            for s in self._ordered_servers
        }
        return self._candidate_placements(accelerators, usable, across_racks, lambda _: 0.0)

    def _keeps_guarantees(self, placement: Placement, exclude=None) -> bool:
        """Accept every placement."""
        return True
