"""Check from the configuration which gangs a zone could ever place."""

from catkinknot.model import Configuration, Kind
from catkinknot.placement import Fleet, ServerSpec

__all__ = ["ZoneCapacity", "guaranteed_shapes", "zone_servers"]


def zone_servers(cfg: Configuration, zone: str) -> list[ServerSpec]:
    """List the servers of a zone as configured.

    Args:
        cfg: The configuration.
        zone: The availability zone.

    Returns:
        A description of each server, named ``ZONE-sNNN``; empty for an unknown zone.
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
        The workspace and size of each shape, repeated as often as the
        configuration counts it.
    """
    return [
        (workspace.name, shape.accelerators)
        for workspace in cfg.workspaces
        for shape in workspace.guarantee
        if shape.zone == zone
        for _ in range(shape.count)
    ]


class ZoneCapacity:
    """Cached check whether an idle zone could place a gang."""

    def __init__(self, cfg: Configuration) -> None:
        """Create a check with an empty cache.

        Args:
            cfg: The configuration.
        """
        self.cfg = cfg
        self._cache: dict[tuple[str, str, int, str], bool] = {}

    def could_place(self, zone: str, workspace: str, accelerators: int, kind: Kind) -> bool:
        """Return whether an idle zone could place a gang.

        A preemptible gang needs only adjacent servers. A gang that is not
        preemptible needs a shape of its workspace's guarantee, or a placement
        that leaves every guaranteed shape packable.

        Args:
            zone: The availability zone.
            workspace: The workspace of the job.
            accelerators: The number of accelerators the gang needs.
            kind: The kind of work.

        Returns:
            Whether such a placement exists.
        """
        key = (zone, workspace, accelerators, kind.name)
        if key not in self._cache:
            self._cache[key] = self._compute(zone, workspace, accelerators, kind)
        return self._cache[key]

    def _compute(self, zone: str, workspace: str, accelerators: int, kind: Kind) -> bool:
        """Try to place a gang on the idle servers of a zone."""
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
