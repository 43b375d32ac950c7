"""Tell which gangs a zone could ever hold."""

from catkinknot.model import Configuration, Kind
from catkinknot.placement import Fleet, ServerSpec

__all__ = ["ZoneCapacity", "guaranteed_shapes", "zone_servers"]


def zone_servers(cfg: Configuration, zone: str) -> list[ServerSpec]:
    """List the servers that a configured zone should have.

    Args:
        cfg: The configuration.
        zone: The availability zone.

    Returns:
        One slot for each server, named ``ZONE-sNNN``; none for an unknown zone.
    """
    found = cfg.zone(zone)
    if found is None:
        return []
    return [
        ServerSpec(f"{zone}-s{n:03}", n // found.servers_per_rack, found.accelerators_per_server)
        for n in range(found.servers)
    ]


def guaranteed_shapes(cfg: Configuration, zone: str) -> list[tuple[str, int]]:
    """List the guaranteed shapes of a zone.

    Args:
        cfg: The configuration.
        zone: The availability zone.

    Returns:
        The workspace and size of each shape, one for each time it is promised.
    """
    return [
        (workspace.name, shape.accelerators)
        for workspace in cfg.workspaces
        for shape in workspace.guarantee
        if shape.zone == zone
        for _ in range(shape.count)
    ]


class ZoneCapacity:
    """Answer from the configuration alone whether a gang could ever be placed."""

    def __init__(self, cfg: Configuration) -> None:
        """Start with nothing worked out.

        Args:
            cfg: The configuration.
        """
        self.cfg = cfg
        self._cache: dict[tuple[str, str, int, str], bool] = {}

    def could_place(self, zone: str, workspace: str, accelerators: int, kind: Kind) -> bool:
        """Tell whether a zone with nothing running could place a gang.

        A gang that may be stopped needs only adjacent servers. One that may
        not be stopped needs room on its workspace's guarantee, or a place
        that leaves every guarantee packable.

        Args:
            zone: The availability zone.
            workspace: Whose job it is.
            accelerators: The gang's size.
            kind: The kind of work.

        Returns:
            Whether there is such a place.
        """
        name = (zone, workspace, accelerators, kind.name)
        if name not in self._cache:
            self._cache[name] = self._compute(zone, workspace, accelerators, kind)
        return self._cache[name]

    def _compute(self, zone: str, workspace: str, accelerators: int, kind: Kind) -> bool:
        """Try to place a gang in the empty zone."""
        fleet = Fleet(zone_servers(self.cfg, zone))
        fleet.set_shapes(guaranteed_shapes(self.cfg, zone))
        on_guarantee = fleet.find_guaranteed(
            workspace, accelerators, cost=lambda _: 0.0, across_racks=kind.across_racks
        )
        if on_guarantee is not None:
            return True
        free = fleet.find_free(
            accelerators, preemptible=kind.preemptible, across_racks=kind.across_racks
        )
        return free is not None
