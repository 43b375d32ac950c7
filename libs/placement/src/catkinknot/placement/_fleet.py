"""Keep track of who holds which accelerators in one availability zone."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from itertools import chain

from ._cells import accelerator_count, best_cell, cell_masks, largest_cell
from ._pack import FreeCapacity, unpacked_shapes

__all__ = [
    "Allocation",
    "Fleet",
    "Placement",
    "Plan",
    "ServerSpec",
    "Shape",
    "Slice",
]


@dataclass(frozen=True)
class ServerSpec:
    """Describe one backend server of the zone.

    Attributes:
        server: The server's name.
        rack: Its rack, numbered along the row.
        size: Its accelerators.
    """

    server: str
    rack: int
    size: int


@dataclass(frozen=True)
class Slice:
    """Name some accelerators of one server.

    Attributes:
        server: The server's name.
        mask: A bit mask of the accelerators.
    """

    server: str
    mask: int


@dataclass(frozen=True)
class Placement:
    """Name all accelerators of one gang.

    Attributes:
        slices: The accelerators on each server.
    """

    slices: tuple[Slice, ...]

    @property
    def accelerators(self) -> int:
        """How many accelerators there are in all."""
        return sum(accelerator_count(part.mask) for part in self.slices)


@dataclass
class Shape:
    """Hold one guaranteed shape of a workspace.

    While any job runs on the guarantee, the shape is bound to one place, and
    no other workspace's guaranteed job may enter it. Releasing the last job
    frees the whole place, so the shape always fits again.

    Attributes:
        workspace: Whose it is.
        accelerators: Its size.
        placement: Where it is bound, None while it is not in use.
        jobs: The allocations that run in it on the guarantee.
    """

    workspace: str
    accelerators: int
    placement: Placement | None = None
    jobs: set[str] = field(default_factory=set)


@dataclass(frozen=True)
class Allocation:
    """Hold the accelerators of one running gang.

    Attributes:
        name: A unique name.
        workspace: Whose job it is.
        placement: Its accelerators.
        preemptible: Whether it may be stopped for others.
        shape: The guaranteed shape it runs in, None when it borrows.
    """

    name: str
    workspace: str
    placement: Placement
    preemptible: bool
    shape: Shape | None = None


@dataclass(frozen=True)
class Plan:
    """Propose where a gang could go.

    Attributes:
        placement: Its accelerators.
        victims: Allocations to stop first.
        shape: The guaranteed shape to charge, None when it borrows.
        shape_placement: The place to bind the shape to, None when it is bound already.
    """

    placement: Placement
    victims: tuple[str, ...] = ()
    shape: Shape | None = None
    shape_placement: Placement | None = None


Cost = Callable[[str], float]
"""Tell what stopping an allocation loses, in accelerator-seconds."""


@dataclass
class _Server:
    """Hold the masks of one server.

    Attributes:
        server_spec: What it is.
        used: Accelerators of any allocation.
        non_preemptible: Accelerators of borrowers that may not be stopped.
        on_guarantee: Accelerators of jobs that run on a guarantee.
        bound: Accelerators of bound shapes.
        held: Accelerators kept for a gang whose victims are still stopping.
        cordoned: Whether nothing new may be placed on it.
        owners: The allocations on it.
    """

    server_spec: ServerSpec
    used: int = 0
    non_preemptible: int = 0
    on_guarantee: int = 0
    bound: int = 0
    held: int = 0
    cordoned: bool = False
    owners: dict[str, int] = field(default_factory=dict)

    @property
    def free(self) -> int:
        """Accelerators that nobody uses."""
        return 0 if self.cordoned else self.whole & ~(self.used | self.held)

    @property
    def whole(self) -> int:
        """All accelerators of the server."""
        return (1 << self.server_spec.size) - 1

    @property
    def claimable(self) -> int:
        """Accelerators that an unbound shape can get by stopping borrowers."""
        return 0 if self.cordoned else self.whole & ~(self.non_preemptible | self.bound | self.held)

    def owners_in(self, mask: int) -> set[str]:
        """Return the allocations that use any of some accelerators."""
        return {name for name, held in self.owners.items() if held & mask}


class Fleet:
    """Place gangs on the servers of one zone and keep every guarantee.

    Invariant: all shapes that are not bound can be packed at once into the
    accelerators left after stopping only borrowers that may be stopped.
    """

    def __init__(self, specs: Iterable[ServerSpec]) -> None:
        """Start with an empty zone.

        Args:
            specs: The zone's servers.
        """
        ordered = sorted(specs, key=lambda server_spec: (server_spec.rack, server_spec.server))
        self._servers = {server_spec.server: _Server(server_spec) for server_spec in ordered}
        self._ordered_servers = list(self._servers.values())
        self._racks = self._group_racks()
        self._allocations: dict[str, Allocation] = {}
        self._holds: dict[str, Plan] = {}
        self._shapes: list[Shape] = []

    @property
    def allocations(self) -> dict[str, Allocation]:
        """All running allocations by name."""
        return self._allocations

    @property
    def accelerators(self) -> int:
        """Accelerators on servers that may be used."""
        return sum(
            server.server_spec.size for server in self._ordered_servers if not server.cordoned
        )

    @property
    def usable_servers(self) -> int:
        """Servers that may be used."""
        return sum(not server.cordoned for server in self._ordered_servers)

    @property
    def free_accelerators(self) -> int:
        """Accelerators that nobody uses."""
        return sum(accelerator_count(server.free) for server in self._ordered_servers)

    @property
    def largest_gang(self) -> int:
        """Accelerators of all servers, which no gang can exceed."""
        return sum(server.server_spec.size for server in self._ordered_servers)

    def rack_accelerators(self) -> int:
        """Return the accelerators of the largest rack."""
        return max(
            (sum(server.server_spec.size for server in rack) for rack in self._racks.values()),
            default=0,
        )

    def set_shapes(self, shapes: Iterable[tuple[str, int]]) -> None:
        """Put other guarantees in force.

        Shapes in use stay bound if they are still promised; jobs that run on
        one that is not become borrowers.

        Args:
            shapes: The workspace and size of each shape.
        """
        old = [shape for shape in self._shapes if shape.placement is not None]
        self._shapes = []
        for workspace, accelerators in shapes:
            match = _find_shape(old, workspace, accelerators)
            if match is not None:
                old.remove(match)
            self._shapes.append(match or Shape(workspace, accelerators))
        for shape in old:
            self._unbind(shape)

    def add_server(self, server_spec: ServerSpec) -> None:
        """Add a server, or do nothing when it is known.

        Args:
            server_spec: The server.
        """
        if server_spec.server in self._servers:
            return
        self._servers[server_spec.server] = _Server(server_spec)
        by_place = sorted(
            self._servers.values(), key=lambda s: (s.server_spec.rack, s.server_spec.server)
        )
        self._servers = {server.server_spec.server: server for server in by_place}
        self._ordered_servers = by_place
        self._racks = self._group_racks()

    def set_cordoned(self, server: str, cordoned: bool) -> None:
        """Allow or forbid new work on a server.

        Args:
            server: The server's name.
            cordoned: Whether to forbid it.
        """
        if server in self._servers:
            self._servers[server].cordoned = cordoned

    def is_cordoned(self, server: str) -> bool:
        """Tell whether a server takes no new work."""
        known = self._servers.get(server)
        return known is None or known.cordoned

    def server_spec(self, server: str) -> ServerSpec | None:
        """Return what is known of a server, or None."""
        known = self._servers.get(server)
        return known.server_spec if known else None

    def has_bound_shape(self, server: str) -> bool:
        """Tell whether a guaranteed shape is in use on a server."""
        return bool(self._servers[server].bound)

    def owners(self, server: str) -> list[str]:
        """Return the allocations on a server."""
        known = self._servers.get(server)
        return list(known.owners) if known else []

    def adjacent_groups(self, accelerators: int, *, across_racks: bool) -> list[list[str]]:
        """List the groups of neighbouring servers that could hold a gang.

        Args:
            accelerators: The gang's size.
            across_racks: Whether it may span neighbouring racks.

        Returns:
            Server names: single servers for a small gang, else racks, else
            runs of racks.
        """
        largest = max((s.server_spec.size for s in self._ordered_servers), default=0)
        if accelerators <= largest:
            return [
                [s.server_spec.server]
                for s in self._ordered_servers
                if s.server_spec.size >= accelerators
            ]
        racks = [[s.server_spec.server for s in self._racks[rack]] for rack in sorted(self._racks)]
        per_rack = max(self.rack_accelerators(), 1)
        if accelerators <= per_rack or not across_racks:
            return racks
        span = -(-accelerators // per_rack) + 1
        return [list(chain(*racks[first : first + span])) for first in range(len(racks))]

    def unhonoured(self) -> tuple[int, ...]:
        """Return the unbound shapes that could not be packed now."""
        return unpacked_shapes(self._claimable_capacities(), self._unbound_sizes())

    def fits_guarantee(self, workspace: str, accelerators: int) -> bool:
        """Tell whether a workspace's guarantee has room for a gang.

        Args:
            workspace: The workspace.
            accelerators: The gang's size.

        Returns:
            Whether an unbound shape or a bound one with room is large enough.
        """
        for shape in self._shapes:
            if shape.workspace == workspace and shape.accelerators >= accelerators:
                used = self._accelerators_in_use(shape)
                if shape.placement is None or shape.accelerators - used >= accelerators:
                    return True
        return False

    def guaranteed_jobs(self, workspace: str) -> set[str]:
        """Return the allocations that run on a workspace's guarantee."""
        names: set[str] = set()
        for shape in self._shapes:
            if shape.workspace == workspace:
                names |= shape.jobs & self._allocations.keys()
        return names

    def allocate(self, name: str, workspace: str, plan: Plan, *, preemptible: bool) -> Allocation:
        """Hold the accelerators of a plan.

        Args:
            name: A unique name for the allocation.
            workspace: Whose job it is.
            plan: Where it goes; its victims must have been released.
            preemptible: Whether it may be stopped for others.

        Returns:
            The allocation.

        Raises:
            ValueError: When an accelerator is in use or the name is taken.
        """
        self._check_free(name, plan.placement)
        if plan.shape is not None and plan.shape.placement is None:
            self._bind(plan.shape, plan.shape_placement or plan.placement)
        allocation = Allocation(name, workspace, plan.placement, preemptible, plan.shape)
        self._allocations[name] = allocation
        for part in plan.placement.slices:
            server = self._servers[part.server]
            server.used |= part.mask
            server.owners[name] = part.mask
            if plan.shape is not None:
                server.on_guarantee |= part.mask
            elif not preemptible:
                server.non_preemptible |= part.mask
        if plan.shape is not None:
            plan.shape.jobs.add(name)
        return allocation

    def hold(self, name: str, plan: Plan) -> None:
        """Keep a place for a gang until its victims have stopped.

        Args:
            name: The name that the allocation will have.
            plan: Where it will go.
        """
        self._holds[name] = plan
        if plan.shape is not None:
            if plan.shape.placement is None:
                self._bind(plan.shape, plan.shape_placement or plan.placement)
            plan.shape.jobs.add(name)
        for part in plan.placement.slices:
            self._servers[part.server].held |= part.mask

    def held_plan(self, name: str) -> Plan | None:
        """Return the plan that is held under a name, or None."""
        return self._holds.get(name)

    def hold_ready(self, name: str) -> bool:
        """Tell whether all victims of a held plan are gone."""
        parts = self._holds[name].placement.slices
        return not any(self._servers[part.server].used & part.mask for part in parts)

    def hold_broken(self, name: str) -> bool:
        """Tell whether a server of a held plan takes no new work any more."""
        return any(self._servers[p.server].cordoned for p in self._holds[name].placement.slices)

    def drop_hold(self, name: str) -> None:
        """Give up a held place; unknown names are ignored.

        Args:
            name: The name it is held under.
        """
        plan = self._holds.pop(name, None)
        if plan is None:
            return
        for part in plan.placement.slices:
            self._servers[part.server].held &= ~part.mask
        if plan.shape is not None:
            plan.shape.jobs.discard(name)
            if not plan.shape.jobs:
                self._unbind(plan.shape)

    def release(self, name: str) -> None:
        """Free the accelerators of an allocation; unknown names are ignored.

        Args:
            name: The allocation's name.
        """
        allocation = self._allocations.pop(name, None)
        if allocation is None:
            return
        for part in allocation.placement.slices:
            server = self._servers[part.server]
            server.used &= ~part.mask
            server.non_preemptible &= ~part.mask
            server.on_guarantee &= ~part.mask
            del server.owners[name]
        shape = allocation.shape
        if shape is not None:
            shape.jobs.discard(name)
            if not shape.jobs:
                self._unbind(shape)

    def find_free(
        self,
        accelerators: int,
        *,
        preemptible: bool,
        across_racks: bool = False,
        avoid: frozenset[str] = frozenset(),
    ) -> Plan | None:
        """Find a place that nobody uses, for a borrower.

        Among the places that fit it takes the one that breaks the smallest
        free cell, so that the largest cells and racks stay whole.

        Args:
            accelerators: The gang's size.
            preemptible: Whether the borrower may be stopped. If not, the place
                must leave all guarantees packable.
            across_racks: Whether it may span neighbouring racks.
            avoid: Servers that are kept for others.

        Returns:
            The plan, None when there is no such place.
        """
        for placement in self._free_placements(accelerators, across_racks, avoid):
            if preemptible or self._keeps_guarantees(placement):
                return Plan(placement)
        return None

    def _free_cells(self, accelerators: int, avoid: frozenset[str]) -> list[Placement]:
        """List the best free cell of each server, the one that breaks least first.

        A cell outside all bound shapes goes before one inside.
        """
        whole_free = {
            rack: sum(1 for s in servers if s.free == s.whole)
            for rack, servers in self._racks.items()
        }
        ranked = []
        for index, server in enumerate(self._ordered_servers):
            free = server.free
            if not free or server.server_spec.server in avoid:
                continue
            cell = best_cell(server.server_spec.size, free & ~server.bound, accelerators)
            inside = cell is None
            if inside:
                cell = best_cell(server.server_spec.size, free, accelerators)
            if cell is not None:
                rack = server.server_spec.rack
                ranked.append((inside, cell[0], whole_free[rack], index, cell[1]))
        ranked.sort()
        return [
            Placement((Slice(self._ordered_servers[index].server_spec.server, mask),))
            for _, _, _, index, mask in ranked
        ]

    def find_guaranteed(
        self,
        workspace: str,
        accelerators: int,
        *,
        cost: Cost,
        across_racks: bool = False,
        protected: frozenset[str] = frozenset(),
        avoid: frozenset[str] = frozenset(),
        own_victims: frozenset[str] = frozenset(),
    ) -> Plan | None:
        """Find a place on a workspace's guarantee, stopping borrowers if need be.

        Args:
            workspace: Whose guarantee to use.
            accelerators: The gang's size.
            cost: What stopping an allocation loses.
            across_racks: Whether it may span neighbouring racks.
            protected: Allocations that must not be stopped.
            avoid: Servers to use only when no other will do.
            own_victims: Jobs on this workspace's guarantee that may be stopped too.

        Returns:
            The cheapest plan, None when the guarantee has no room.
        """
        plans = []
        for shape in self._shapes:
            if shape.workspace != workspace or shape.accelerators < accelerators:
                continue
            if shape.placement is not None:
                plans += self._plans_on_bound_shape(shape, accelerators, own_victims)
        plan = self._cheapest(plans, cost, protected, avoid, own_victims)
        if plan is not None and not plan.victims and not _uses_any(plan.placement, avoid):
            return plan
        unbound_plan = self._plan_on_unbound_shape(
            workspace, accelerators, cost, across_racks, protected, avoid
        )
        found = [p for p in (plan, unbound_plan) if p is not None]
        return self._cheapest(found, cost, protected, avoid, own_victims)

    def find_preempting(
        self,
        accelerators: int,
        *,
        cost: Cost,
        across_racks: bool = False,
        preemptible: bool,
        may_preempt: Callable[[str], bool],
    ) -> Plan | None:
        """Find a place for a borrower by stopping other borrowers.

        Args:
            accelerators: The gang's size.
            cost: What stopping an allocation loses.
            across_racks: Whether it may span neighbouring racks.
            preemptible: Whether this borrower may be stopped itself.
            may_preempt: Which allocations may be stopped for it.

        Returns:
            The cheapest plan, None when there is none.
        """
        protected = frozenset(name for name in self._allocations if not may_preempt(name))
        usable = {
            server.server_spec.server: 0
            if server.cordoned
            else server.whole & ~(server.on_guarantee | server.non_preemptible | server.held)
            for server in self._ordered_servers
        }
        plans = [
            Plan(placement, self._victims(placement))
            for placement in self._candidate_placements(accelerators, usable, across_racks, cost)
            if preemptible or self._keeps_guarantees(placement)
        ]
        return self._cheapest(plans, cost, protected)

    def _largest_server(self) -> int:
        """Return the accelerators of the largest server."""
        return max((server.server_spec.size for server in self._ordered_servers), default=0)

    def _group_racks(self) -> dict[int, list[_Server]]:
        """Group the servers by rack."""
        racks: dict[int, list[_Server]] = {}
        for server in self._ordered_servers:
            racks.setdefault(server.server_spec.rack, []).append(server)
        return racks

    def _claimable_capacities(self, blocked: dict[str, int] | None = None) -> list[FreeCapacity]:
        """Describe what unbound shapes can claim.

        Args:
            blocked: Further accelerators that are not available.

        Returns:
            One room for each server.
        """
        blocked = blocked or {}
        return [
            FreeCapacity(
                s.server_spec.rack,
                s.server_spec.size,
                s.claimable & ~blocked.get(s.server_spec.server, 0),
            )
            for s in self._ordered_servers
        ]

    def _unbound_sizes(self, exclude: Shape | None = None) -> list[int]:
        """Return the sizes of the shapes that are not bound."""
        return [s.accelerators for s in self._shapes if s.placement is None and s is not exclude]

    def _keeps_guarantees(self, placement: Placement, exclude: Shape | None = None) -> bool:
        """Tell whether blocking a place leaves no more shapes unpacked.

        Args:
            placement: The place to be blocked.
            exclude: A shape that need not be packed, as it is the one going there.

        Returns:
            Whether the guarantees are no worse off.
        """
        blocked = {part.server: part.mask for part in placement.slices}
        if exclude is None and self._overlaps_bound_shape(placement):
            return False
        after = unpacked_shapes(self._claimable_capacities(blocked), self._unbound_sizes(exclude))
        if not after:
            return True
        return sum(after) <= sum(
            unpacked_shapes(self._claimable_capacities(), self._unbound_sizes(exclude))
        )

    def _overlaps_bound_shape(self, placement: Placement) -> bool:
        """Tell whether a place lies in a shape that is bound."""
        return any(self._servers[p.server].bound & p.mask for p in placement.slices)

    def _check_free(self, name: str, placement: Placement) -> None:
        """Refuse a place that is in use."""
        if name in self._allocations:
            raise ValueError(f"{name} holds accelerators already")
        for part in placement.slices:
            if self._servers[part.server].used & part.mask:
                raise ValueError(f"accelerators of {part.server} are in use")

    def _bind(self, shape: Shape, placement: Placement) -> None:
        """Bind a shape to a place."""
        shape.placement = placement
        for part in placement.slices:
            self._servers[part.server].bound |= part.mask

    def _unbind(self, shape: Shape) -> None:
        """Free the place of a shape and turn its jobs into borrowers."""
        placement, shape.placement = shape.placement, None
        if placement is None:
            return
        for part in placement.slices:
            self._servers[part.server].bound &= ~part.mask
        for name in shape.jobs:
            if name in self._allocations:
                self._make_borrower(name)
            else:
                self._holds[name] = replace(self._holds[name], shape=None, shape_placement=None)
        shape.jobs.clear()

    def _make_borrower(self, name: str) -> None:
        """Let a job that ran on a guarantee go on as a borrower."""
        old = self._allocations[name]
        self._allocations[name] = Allocation(
            name, old.workspace, old.placement, old.preemptible, shape=None
        )
        for part in old.placement.slices:
            server = self._servers[part.server]
            server.on_guarantee &= ~part.mask
            if not old.preemptible:
                server.non_preemptible |= part.mask

    def _accelerators_in_use(self, shape: Shape) -> int:
        """Count the accelerators that run on a shape."""
        total = 0
        for name in shape.jobs:
            held = self._allocations.get(name) or self._holds[name]
            total += held.placement.accelerators
        return total

    def _victims(self, placement: Placement) -> tuple[str, ...]:
        """Return the allocations that use any of a place."""
        names: set[str] = set()
        for part in placement.slices:
            names |= self._servers[part.server].owners_in(part.mask)
        return tuple(sorted(names))

    def _cheapest(
        self,
        plans: list[Plan],
        cost: Cost,
        protected: frozenset[str],
        avoid: frozenset[str] = frozenset(),
        own_victims: frozenset[str] = frozenset(),
    ) -> Plan | None:
        """Return the plan whose victims lose least.

        Args:
            plans: The plans.
            cost: What stopping an allocation loses.
            protected: Allocations that must not be stopped.
            avoid: Servers to use only when no other will do.
            own_victims: Jobs on a guarantee that may be stopped too.

        Returns:
            The cheapest plan that stops only what may be stopped, or None.
        """
        allowed = [
            plan for plan in plans if self._may_preempt_all(plan.victims, protected, own_victims)
        ]

        def rank(plan: Plan) -> tuple[bool, float]:
            """Rank a plan: the best first."""
            return _uses_any(plan.placement, avoid), sum(cost(name) for name in plan.victims)

        return min(allowed, key=rank, default=None)

    def _may_preempt_all(
        self,
        victims: tuple[str, ...],
        protected: frozenset[str],
        own_victims: frozenset[str] = frozenset(),
    ) -> bool:
        """Tell whether every victim may be stopped."""
        for name in victims:
            allocation = self._allocations[name]
            borrows = allocation.shape is None or name in own_victims
            if name in protected or not borrows or not allocation.preemptible:
                return False
        return True

    def _plans_on_bound_shape(
        self, shape: Shape, accelerators: int, own_victims: frozenset[str]
    ) -> list[Plan]:
        """List the places for a gang inside a bound shape."""
        inside = {}
        for part in shape.placement.slices:
            server = self._servers[part.server]
            yielded = sum(held for name, held in server.owners.items() if name in own_victims)
            taken = (server.on_guarantee & ~yielded) | server.held
            inside[part.server] = 0 if server.cordoned else part.mask & ~taken
        return [
            Plan(placement, self._victims(placement), shape)
            for placement in self._candidate_placements(accelerators, inside, True, lambda _: 0.0)
        ]

    def _plan_on_unbound_shape(
        self,
        workspace: str,
        accelerators: int,
        cost: Cost,
        across_racks: bool,
        protected: frozenset[str],
        avoid: frozenset[str],
    ) -> Plan | None:
        """Bind a further shape at the cheapest place that keeps the others."""
        unbound = [
            s
            for s in self._shapes
            if s.workspace == workspace and s.placement is None and s.accelerators >= accelerators
        ]
        if not unbound:
            return None
        shape = min(unbound, key=lambda s: s.accelerators)
        across_racks = across_racks or shape.accelerators > self.rack_accelerators()
        plan = self._bind_to_free(shape, accelerators, across_racks, avoid)
        if plan is not None and not _uses_any(plan.shape_placement, avoid):
            return plan
        claimable = {s.server_spec.server: s.claimable for s in self._ordered_servers}
        return (
            self._bind_within(claimable, shape, accelerators, cost, across_racks, protected, avoid)
            or plan
        )

    def _bind_to_free(
        self, shape: Shape, accelerators: int, across_racks: bool, avoid: frozenset[str]
    ) -> Plan | None:
        """Bind a shape where nothing runs, breaking the smallest claimable cell."""
        free = {s.server_spec.server: s.claimable & s.free for s in self._ordered_servers}
        if shape.accelerators > self._largest_server():
            shape_placements = self._candidate_placements(
                shape.accelerators, free, across_racks, lambda _: 0.0
            )
        else:
            shape_placements = self._claimable_free_cells(shape.accelerators, free, avoid)
        for shape_placement in shape_placements:
            if self._keeps_guarantees(shape_placement, exclude=shape):
                return Plan(
                    self._sub_placements(shape_placement, accelerators)[0],
                    (),
                    shape,
                    shape_placement,
                )
        return None

    def _claimable_free_cells(
        self, accelerators: int, free: dict[str, int], avoid: frozenset[str]
    ) -> list[Placement]:
        """List one free cell of each server, the one that breaks least first."""
        whole = {rack: self._whole_claimable(rack) for rack in self._racks}
        ranked = []
        for index, server in enumerate(self._ordered_servers):
            name = server.server_spec.server
            cell = best_cell(server.server_spec.size, free[name], accelerators)
            if cell is not None:
                broken, mask = cell
                rank = (name in avoid, broken, whole[server.server_spec.rack], index)
                ranked.append((rank, Placement((Slice(name, mask),))))
        ranked.sort(key=lambda row: row[0])
        return [placement for _, placement in ranked]

    def _bind_within(
        self,
        usable: dict[str, int],
        shape: Shape,
        accelerators: int,
        cost: Cost,
        across_racks: bool,
        protected: frozenset[str],
        avoid: frozenset[str],
    ) -> Plan | None:
        """Bind a shape within some accelerators at the cheapest place.

        Args:
            usable: A bit mask of the usable accelerators of each server.
            shape: The shape to bind.
            accelerators: The size of the gang that goes into it.
            cost: What stopping an allocation loses.
            across_racks: Whether the shape may span neighbouring racks.
            protected: Allocations that must not be stopped.
            avoid: Servers to use only when no other will do.

        Returns:
            The plan, None when there is none that keeps the other guarantees.
        """
        ranked = []
        for shape_placement in self._candidate_placements(
            shape.accelerators, usable, across_racks, cost
        ):
            for placement in self._sub_placements(shape_placement, accelerators):
                victims = self._victims(placement)
                if self._may_preempt_all(victims, protected):
                    total = sum(cost(name) for name in victims)
                    rank = (
                        _uses_any(shape_placement, avoid),
                        total,
                        self._broken_cell_rank(shape_placement),
                    )
                    ranked.append((rank, Plan(placement, victims, shape, shape_placement)))
        ranked.sort(key=lambda row: row[0])
        for _, plan in ranked:
            if self._keeps_guarantees(plan.shape_placement, exclude=shape):
                return plan
        return None

    def _sub_placements(self, shape_placement: Placement, accelerators: int) -> list[Placement]:
        """List the places for a gang inside a place."""
        if shape_placement.accelerators == accelerators:
            return [shape_placement]
        inside = {part.server: part.mask for part in shape_placement.slices}
        return self._candidate_placements(accelerators, inside, True, lambda _: 0.0)

    def _broken_cell_rank(self, placement: Placement) -> int:
        """Return the size of the largest claimable cell that a place breaks."""
        part = placement.slices[0]
        server = self._servers[part.server]
        whole_servers = self._whole_claimable(server.server_spec.rack)
        cell = largest_cell(server.server_spec.size, server.claimable | part.mask, part.mask)
        return cell * 64 + whole_servers

    def _whole_claimable(self, rack: int) -> int:
        """Count the servers of a rack that an unbound shape can claim whole."""
        return sum(1 for server in self._racks[rack] if server.claimable == server.whole)

    def _free_placements(
        self, accelerators: int, across_racks: bool, avoid: frozenset[str]
    ) -> list[Placement]:
        """List free places, the one that breaks least first."""
        if accelerators <= self._largest_server():
            return self._free_cells(accelerators, avoid)
        usable = {
            s.server_spec.server: 0 if s.server_spec.server in avoid else s.free
            for s in self._ordered_servers
        }
        whole_free = {
            rack: sum(1 for s in servers if usable[s.server_spec.server] == s.whole)
            for rack, servers in self._racks.items()
        }
        placements = self._candidate_placements(accelerators, usable, across_racks, lambda _: 0.0)
        return sorted(
            placements, key=lambda placement: self._free_rank(placement, usable, whole_free)
        )

    def _free_rank(
        self, placement: Placement, usable: dict[str, int], whole_free: dict[int, int]
    ) -> tuple[int, ...]:
        """Rank a free place by what stays placeable after it.

        Args:
            placement: The place.
            usable: Free accelerators of each server.
            whole_free: Free whole servers of each rack.

        Returns:
            A key that sorts the best place first.
        """
        part = placement.slices[0]
        server = self._servers[part.server]
        broken = largest_cell(server.server_spec.size, usable[part.server], part.mask)
        bound = int(self._overlaps_bound_shape(placement))
        return (
            bound,
            len(placement.slices),
            broken,
            whole_free[server.server_spec.rack],
            server.server_spec.rack,
        )

    def _candidate_placements(
        self, accelerators: int, usable: dict[str, int], across_racks: bool, cost: Cost
    ) -> list[Placement]:
        """List places for a gang within some accelerators.

        Args:
            accelerators: The gang's size.
            usable: A bit mask of the usable accelerators of each server.
            across_racks: Whether it may span neighbouring racks.
            cost: What stopping an allocation loses, to choose whole servers.

        Returns:
            The places, in the order of the servers.
        """
        largest = max((self._servers[name].server_spec.size for name in usable), default=0)
        if accelerators <= largest:
            return self._cell_placements(accelerators, usable)
        placements = []
        for rack in self._racks.values():
            placement = self._gang_placement(accelerators, rack, usable, cost)
            if placement is not None:
                placements.append(placement)
        if not placements and across_racks:
            placements = self._multi_rack_placements(accelerators, usable, cost)
        return placements

    def _cell_placements(self, accelerators: int, usable: dict[str, int]) -> list[Placement]:
        """List the cells of single servers that a gang fits in."""
        placements = []
        for name, free in usable.items():
            size = self._servers[name].server_spec.size
            if accelerator_count(free) < accelerators or size < accelerators:
                continue
            for mask in cell_masks(size, accelerators):
                if mask & free == mask:
                    placements.append(Placement((Slice(name, mask),)))
        return placements

    def _multi_rack_placements(
        self, accelerators: int, usable: dict[str, int], cost: Cost
    ) -> list[Placement]:
        """List places that span neighbouring racks."""
        order = sorted(self._racks)
        per_rack = max(self.rack_accelerators(), 1)
        span = -(-accelerators // per_rack) + 1
        placements = []
        for first in range(len(order)):
            servers = [s for rack in order[first : first + span] for s in self._racks[rack]]
            placement = self._gang_placement(accelerators, servers, usable, cost)
            if placement is not None:
                placements.append(placement)
        return placements

    def _gang_placement(
        self, accelerators: int, servers: list[_Server], usable: dict[str, int], cost: Cost
    ) -> Placement | None:
        """Take whole servers for a gang, and a cell for what is left over.

        Args:
            accelerators: The gang's size.
            servers: Neighbouring servers.
            usable: A bit mask of the usable accelerators of each server.
            cost: What stopping an allocation loses.

        Returns:
            The place, None when there are too few whole servers.
        """
        whole = [s for s in servers if usable.get(s.server_spec.server, 0) == s.whole]
        whole.sort(key=lambda s: sum(cost(name) for name in s.owners))
        slices = []
        left = accelerators
        for server in whole:
            if left < server.server_spec.size:
                break
            slices.append(Slice(server.server_spec.server, server.whole))
            left -= server.server_spec.size
        if left == 0:
            return Placement(tuple(slices))
        taken = {part.server for part in slices}
        rest = {s.server_spec.server: usable.get(s.server_spec.server, 0) for s in servers}
        rest = {name: free for name, free in rest.items() if name not in taken}
        if left >= min((s.server_spec.size for s in servers), default=0):
            return None
        cells = self._cell_placements(left, rest)
        if not cells:
            return None
        best = min(cells, key=lambda cell: self._leftover_rank(cell, rest))
        return Placement((*slices, *best.slices))

    def _leftover_rank(self, cell: Placement, rest: dict[str, int]) -> int:
        """Rank a cell for the rest of a gang: the smallest broken first."""
        part = cell.slices[0]
        size = self._servers[part.server].server_spec.size
        return largest_cell(size, rest[part.server], part.mask)


def _uses_any(placement: Placement, servers: frozenset[str]) -> bool:
    """Tell whether a place uses any of some servers."""
    return any(part.server in servers for part in placement.slices)


def _find_shape(shapes: list[Shape], workspace: str, accelerators: int) -> Shape | None:
    """Find a shape of the same owner and size, or None."""
    for shape in shapes:
        if (shape.workspace, shape.accelerators) == (workspace, accelerators):
            return shape
    return None
