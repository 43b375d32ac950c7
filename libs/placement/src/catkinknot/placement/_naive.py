"""Place gangs by first fit, as a baseline to compare with."""

from ._fleet import Fleet, Placement

__all__ = ["FirstFitFleet"]


class FirstFitFleet(Fleet):
    """Place gangs in the first place that fits and keep no guarantee."""

    def _free_places(
        self, accelerators: int, across: bool, avoid: frozenset[str]
    ) -> list[Placement]:
        """List free places in the order of the servers."""
        usable = {s.slot.server: 0 if s.slot.server in avoid else s.free for s in self._order}
        return self._places(accelerators, usable, across, lambda _: 0.0)

    def _keeps_guarantees(self, placement: Placement, but=None) -> bool:
        """Accept every place."""
        return True
