"""Track allocations and guaranteed shapes on the servers of one availability zone."""

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
    """Description of a backend server.

    Attributes:
        server: Name of the server.
        rack: Number of its rack along the row.
        size: Number of its accelerators.
    """

    server: str
    rack: int
    size: int


@dataclass(frozen=True)
class Slice:
    """Some accelerators of one server.

    Attributes:
        server: Name of the server.
        mask: Bit mask of the accelerators.
    """

    server: str
    mask: int


@dataclass(frozen=True)
class Placement:
    """Accelerators of one gang or guaranteed shape.

    Attributes:
        slices: The accelerators on each server.
    """

    slices: tuple[Slice, ...]

    @property
    def accelerators(self) -> int:
        """Total number of accelerators."""
        return sum(accelerator_count(part.mask) for part in self.slices)


@dataclass
class Shape:
    """Guaranteed shape of a workspace.

    While any job runs on the shape, it is bound to one placement, where no
    other workspace's guaranteed job may run. Releasing the last job frees the
    whole placement, so the shape always fits again.

    Attributes:
        workspace: Workspace that has the guarantee.
        accelerators: Number of adjacent accelerators.
        placement: Placement that the shape is bound to, None while not in use.
        jobs: Names of the allocations and holds on the shape.
    """

    workspace: str
    accelerators: int
    placement: Placement | None = None
    jobs: set[str] = field(default_factory=set)


@dataclass(frozen=True)
class Allocation:
    """Accelerators in use by a gang.

    Attributes:
        name: Unique name.
        workspace: Workspace of the job.
        placement: Accelerators of the gang.
        preemptible: Whether the gang may be preempted.
        shape: Guaranteed shape that it runs on, None for a borrower.
    """

    name: str
    workspace: str
    placement: Placement
    preemptible: bool
    shape: Shape | None = None


@dataclass(frozen=True)
class Plan:
    """Possible placement of a gang.

    Attributes:
        placement: Accelerators for the gang.
        victims: Names of the allocations to preempt first.
        shape: Guaranteed shape to run on, None for a borrower.
        shape_placement: Placement to bind the shape to, None when it is bound already.
    """

    placement: Placement
    victims: tuple[str, ...] = ()
    shape: Shape | None = None
    shape_placement: Placement | None = None


Cost = Callable[[str], float]
"""Return the accelerator-seconds lost by preempting an allocation."""


@dataclass
class _Server:
    """State of one server, as bit masks of its accelerators.

    Attributes:
        server_spec: Description of the server.
        used: Accelerators of all allocations.
        non_preemptible: Accelerators of borrowers that may not be preempted.
        on_guarantee: Accelerators of allocations on a guaranteed shape.
        bound: Accelerators of bound shapes.
        held: Accelerators held for gangs whose victims are still stopping.
        cordoned: Whether the server accepts no new work.
        owners: Accelerators of each allocation by name.
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
        """Accelerators that are neither used nor held."""
        return 0 if self.cordoned else self.whole & ~(self.used | self.held)

    @property
    def whole(self) -> int:
        """All accelerators of the server."""
        return (1 << self.server_spec.size) - 1

    @property
    def claimable(self) -> int:
        """Accelerators that an unbound shape can claim by preempting borrowers."""
        return 0 if self.cordoned else self.whole & ~(self.non_preemptible | self.bound | self.held)

    def owners_in(self, mask: int) -> set[str]:
        """Return the names of the allocations that use any accelerator of a mask."""
        return {name for name, owned in self.owners.items() if owned & mask}


class Fleet:
    """Servers of one zone, on which gangs are placed without breaking guarantees.

    Invariant: all unbound shapes can be packed at once into the accelerators
    that remain after preempting only preemptible borrowers.
    """

    def __init__(self, specs: Iterable[ServerSpec]) -> None:
        """Create a fleet without allocations or guarantees.

        Args:
            specs: Descriptions of the zone's servers.
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
        """All allocations by name."""
        return self._allocations

    @property
    def accelerators(self) -> int:
        """Number of accelerators on servers that are not cordoned."""
        return sum(
            server.server_spec.size for server in self._ordered_servers if not server.cordoned
        )

    @property
    def usable_servers(self) -> int:
        """Number of servers that are not cordoned."""
        return sum(not server.cordoned for server in self._ordered_servers)

    @property
    def free_accelerators(self) -> int:
        """Number of accelerators that are neither used nor held."""
        return sum(accelerator_count(server.free) for server in self._ordered_servers)

    @property
    def largest_gang(self) -> int:
        """Number of accelerators on all servers, the upper bound for a gang."""
        return sum(server.server_spec.size for server in self._ordered_servers)

    def rack_accelerators(self) -> int:
        """Return the number of accelerators in the largest rack."""
        return max(
            (sum(server.server_spec.size for server in rack) for rack in self._racks.values()),
            default=0,
        )

    def set_shapes(self, shapes: Iterable[tuple[str, int]]) -> None:
        """Replace the guaranteed shapes.

        Bound shapes that are still guaranteed stay bound; jobs on a shape that
        is no longer guaranteed become borrowers.

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
        """Add a server; one that is known already stays as it is.

        Args:
            server_spec: Description of the server.
        """
        if server_spec.server in self._servers:
            return
        self._servers[server_spec.server] = _Server(server_spec)
        ordered = sorted(
            self._servers.values(), key=lambda s: (s.server_spec.rack, s.server_spec.server)
        )
        self._servers = {server.server_spec.server: server for server in ordered}
        self._ordered_servers = ordered
        self._racks = self._group_racks()

    def set_cordoned(self, server: str, cordoned: bool) -> None:
        """Cordon or uncordon a server; unknown names are ignored.

        Args:
            server: The server's name.
            cordoned: Whether the server accepts no new work.
        """
        if server in self._servers:
            self._servers[server].cordoned = cordoned

    def is_cordoned(self, server: str) -> bool:
        """Return whether a server is unknown or accepts no new work."""
        state = self._servers.get(server)
        return state is None or state.cordoned

    def server_spec(self, server: str) -> ServerSpec | None:
        """Return the description of a server, or None when it is unknown."""
        state = self._servers.get(server)
        return state.server_spec if state else None

    def has_bound_shape(self, server: str) -> bool:
        """Return whether a guaranteed shape is bound to accelerators of a server."""
        return bool(self._servers[server].bound)

    def owners(self, server: str) -> list[str]:
        """Return the names of the allocations on a server."""
        state = self._servers.get(server)
        return list(state.owners) if state else []

    def adjacent_groups(self, accelerators: int, *, across_racks: bool) -> list[list[str]]:
        """List the groups of adjacent servers that a gang could be placed on.

        Args:
            accelerators: The number of accelerators in the gang.
            across_racks: Whether the gang may span adjacent racks.

        Returns:
            Server names by group: single servers if the gang fits on one,
            otherwise racks, or runs of racks for a gang larger than a rack.
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
        """Return the sizes of the unbound shapes that cannot be packed now."""
        return unpacked_shapes(self._claimable_capacities(), self._unbound_sizes())

    def fits_guarantee(self, workspace: str, accelerators: int) -> bool:
        """Return whether a gang fits into a workspace's guarantee.

        Args:
            workspace: The workspace.
            accelerators: The number of accelerators in the gang.

        Returns:
            Whether an unbound shape, or the unused part of a bound one, is
            large enough.
        """
        for shape in self._shapes:
            if shape.workspace == workspace and shape.accelerators >= accelerators:
                used = self._accelerators_in_use(shape)
                if shape.placement is None or shape.accelerators - used >= accelerators:
                    return True
        return False

    def guaranteed_jobs(self, workspace: str) -> set[str]:
        """Return the names of the allocations on a workspace's guarantee."""
        names: set[str] = set()
        for shape in self._shapes:
            if shape.workspace == workspace:
                names |= shape.jobs & self._allocations.keys()
        return names

    def allocate(self, name: str, workspace: str, plan: Plan, *, preemptible: bool) -> Allocation:
        """Allocate the accelerators of a plan.

        Args:
            name: Unique name of the allocation.
            workspace: Workspace of the job.
            plan: The plan, whose victims must have been released.
            preemptible: Whether the gang may be preempted.

        Returns:
            The allocation.

        Raises:
            ValueError: An accelerator or the name is in use already.
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
        """Hold the accelerators of a plan for a gang until its victims have stopped.

        Args:
            name: Name of the future allocation.
            plan: The plan.
        """
        self._holds[name] = plan
        if plan.shape is not None:
            if plan.shape.placement is None:
                self._bind(plan.shape, plan.shape_placement or plan.placement)
            plan.shape.jobs.add(name)
        for part in plan.placement.slices:
            self._servers[part.server].held |= part.mask

    def held_plan(self, name: str) -> Plan | None:
        """Return the plan held under a name, or None."""
        return self._holds.get(name)

    def hold_ready(self, name: str) -> bool:
        """Return whether all victims of a held plan were released."""
        parts = self._holds[name].placement.slices
        return not any(self._servers[part.server].used & part.mask for part in parts)

    def hold_broken(self, name: str) -> bool:
        """Return whether a server of a held plan was cordoned."""
        return any(self._servers[p.server].cordoned for p in self._holds[name].placement.slices)

    def drop_hold(self, name: str) -> None:
        """Drop a hold; unknown names are ignored.

        Args:
            name: Name of the hold.
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
            name: Name of the allocation.
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
        """Find a free placement for a borrower.

        Of the placements that fit, the one that splits the smallest free cell
        is chosen, so that large cells and racks stay whole.

        Args:
            accelerators: The number of accelerators in the gang.
            preemptible: Whether the borrower may be preempted. If not, its
                placement must leave all guaranteed shapes packable.
            across_racks: Whether the gang may span adjacent racks.
            avoid: Servers that must not be used.

        Returns:
            The plan, or None when no placement fits.
        """
        for placement in self._free_placements(accelerators, across_racks, avoid):
            if preemptible or self._keeps_guarantees(placement):
                return Plan(placement)
        return None

    def _free_cells(self, accelerators: int, avoid: frozenset[str]) -> list[Placement]:
        """List the best free position of each server, that of the smallest cell first.

        Positions outside all bound shapes come before those inside.
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
            inside_bound = cell is None
            if inside_bound:
                cell = best_cell(server.server_spec.size, free, accelerators)
            if cell is not None:
                rack = server.server_spec.rack
                ranked.append((inside_bound, cell[0], whole_free[rack], index, cell[1]))
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
        """Find a placement on a workspace's guarantee, preempting borrowers if needed.

        Args:
            workspace: The workspace whose guarantee is used.
            accelerators: The number of accelerators in the gang.
            cost: The cost of preempting an allocation.
            across_racks: Whether the gang may span adjacent racks.
            protected: Allocations that must not be preempted.
            avoid: Servers to use only when no other placement exists.
            own_victims: Allocations on this guarantee that may be preempted too.

        Returns:
            The cheapest plan, or None when the gang does not fit.
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
        """Find a placement for a borrower by preempting other borrowers.

        Args:
            accelerators: The number of accelerators in the gang.
            cost: The cost of preempting an allocation.
            across_racks: Whether the gang may span adjacent racks.
            preemptible: Whether this borrower may itself be preempted.
            may_preempt: Whether an allocation may be preempted for it.

        Returns:
            The cheapest plan, or None when there is none.
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
        """Return the number of accelerators in the largest server."""
        return max((server.server_spec.size for server in self._ordered_servers), default=0)

    def _group_racks(self) -> dict[int, list[_Server]]:
        """Group the servers by rack."""
        racks: dict[int, list[_Server]] = {}
        for server in self._ordered_servers:
            racks.setdefault(server.server_spec.rack, []).append(server)
        return racks

    def _claimable_capacities(self, blocked: dict[str, int] | None = None) -> list[FreeCapacity]:
        """Return the accelerators that unbound shapes can claim.

        Args:
            blocked: Bit masks of further unavailable accelerators, by server.

        Returns:
            The available accelerators of each server.
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
        """Return the sizes of the unbound shapes."""
        return [s.accelerators for s in self._shapes if s.placement is None and s is not exclude]

    def _keeps_guarantees(self, placement: Placement, exclude: Shape | None = None) -> bool:
        """Return whether the guarantees are no worse off when a placement is blocked.

        Args:
            placement: The placement to block.
            exclude: The shape that is bound to this placement, which need not be packed.

        Returns:
            Whether the shapes that cannot be packed do not add up to more accelerators.
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
        """Return whether a placement overlaps a bound shape."""
        return any(self._servers[p.server].bound & p.mask for p in placement.slices)

    def _check_free(self, name: str, placement: Placement) -> None:
        """Raise ValueError if the name or the accelerators are in use already."""
        if name in self._allocations:
            raise ValueError(f"allocation {name} exists already")
        for part in placement.slices:
            if self._servers[part.server].used & part.mask:
                raise ValueError(f"accelerators of {part.server} are in use")

    def _bind(self, shape: Shape, placement: Placement) -> None:
        """Bind a shape to a placement."""
        shape.placement = placement
        for part in placement.slices:
            self._servers[part.server].bound |= part.mask

    def _unbind(self, shape: Shape) -> None:
        """Unbind a shape and turn its jobs into borrowers."""
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
        """Turn an allocation on a guaranteed shape into a borrower."""
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
        """Return the number of accelerators used or held on a shape."""
        total = 0
        for name in shape.jobs:
            allocated_or_held = self._allocations.get(name) or self._holds[name]
            total += allocated_or_held.placement.accelerators
        return total

    def _victims(self, placement: Placement) -> tuple[str, ...]:
        """Return the names of the allocations that overlap a placement."""
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
        """Return the plan with the least preemption cost.

        Args:
            plans: The plans.
            cost: The cost of preempting an allocation.
            protected: Allocations that must not be preempted.
            avoid: Servers to use only when no other plan exists.
            own_victims: Allocations on a guarantee that may be preempted too.

        Returns:
            The cheapest plan whose victims may all be preempted, or None.
        """
        allowed = [
            plan for plan in plans if self._may_preempt_all(plan.victims, protected, own_victims)
        ]

        def rank(plan: Plan) -> tuple[bool, float]:
            """Return a key that sorts the best plan first."""
            return _uses_any(plan.placement, avoid), sum(cost(name) for name in plan.victims)

        return min(allowed, key=rank, default=None)

    def _may_preempt_all(
        self,
        victims: tuple[str, ...],
        protected: frozenset[str],
        own_victims: frozenset[str] = frozenset(),
    ) -> bool:
        """Return whether every victim may be preempted."""
        for name in victims:
            allocation = self._allocations[name]
            borrows = allocation.shape is None or name in own_victims
            if name in protected or not borrows or not allocation.preemptible:
                return False
        return True

    def _plans_on_bound_shape(
        self, shape: Shape, accelerators: int, own_victims: frozenset[str]
    ) -> list[Plan]:
        """List the plans for a gang on a bound shape."""
        usable = {}
        for part in shape.placement.slices:
            server = self._servers[part.server]
            reclaimable = sum(owned for name, owned in server.owners.items() if name in own_victims)
            unavailable = (server.on_guarantee & ~reclaimable) | server.held
            usable[part.server] = 0 if server.cordoned else part.mask & ~unavailable
        return [
            Plan(placement, self._victims(placement), shape)
            for placement in self._candidate_placements(accelerators, usable, True, lambda _: 0.0)
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
        """Find the cheapest plan that binds another shape and keeps the other guarantees."""
        unbound = [
            s
            for s in self._shapes
            if s.workspace == workspace and s.placement is None and s.accelerators >= accelerators
        ]
        if not unbound:
            return None
        shape = min(unbound, key=lambda s: s.accelerators)
        across_racks = across_racks or shape.accelerators > self.rack_accelerators()
        plan = self._free_binding_plan(shape, accelerators, across_racks, avoid)
        if plan is not None and not _uses_any(plan.shape_placement, avoid):
            return plan
        claimable = {s.server_spec.server: s.claimable for s in self._ordered_servers}
        return (
            self._cheapest_binding_plan(
                claimable, shape, accelerators, cost, across_racks, protected, avoid
            )
            or plan
        )

    def _free_binding_plan(
        self, shape: Shape, accelerators: int, across_racks: bool, avoid: frozenset[str]
    ) -> Plan | None:
        """Find a plan that binds a shape to free accelerators, splitting the smallest cell."""
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
        """List the best position of each server, those outside avoided servers first.

        Within both groups, the position that splits the smallest cell comes first.
        """
        whole_claimable = {rack: self._whole_claimable(rack) for rack in self._racks}
        ranked = []
        for index, server in enumerate(self._ordered_servers):
            name = server.server_spec.server
            cell = best_cell(server.server_spec.size, free[name], accelerators)
            if cell is not None:
                split_size, mask = cell
                rank = (name in avoid, split_size, whole_claimable[server.server_spec.rack], index)
                ranked.append((rank, Placement((Slice(name, mask),))))
        ranked.sort(key=lambda row: row[0])
        return [placement for _, placement in ranked]

    def _cheapest_binding_plan(
        self,
        usable: dict[str, int],
        shape: Shape,
        accelerators: int,
        cost: Cost,
        across_racks: bool,
        protected: frozenset[str],
        avoid: frozenset[str],
    ) -> Plan | None:
        """Find the cheapest plan that binds a shape within the usable accelerators.

        Args:
            usable: A bit mask of the usable accelerators of each server.
            shape: The shape to bind.
            accelerators: The number of accelerators in the gang that runs on it.
            cost: The cost of preempting an allocation.
            across_racks: Whether the shape may span adjacent racks.
            protected: Allocations that must not be preempted.
            avoid: Servers to use only when no other plan exists.

        Returns:
            The plan, or None when no plan keeps the other guarantees.
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
                        self._split_cell_rank(shape_placement),
                    )
                    ranked.append((rank, Plan(placement, victims, shape, shape_placement)))
        ranked.sort(key=lambda row: row[0])
        for _, plan in ranked:
            if self._keeps_guarantees(plan.shape_placement, exclude=shape):
                return plan
        return None

    def _sub_placements(self, shape_placement: Placement, accelerators: int) -> list[Placement]:
        """List the placements for a gang within the placement of its shape."""
        if shape_placement.accelerators == accelerators:
            return [shape_placement]
        usable = {part.server: part.mask for part in shape_placement.slices}
        return self._candidate_placements(accelerators, usable, True, lambda _: 0.0)

    def _split_cell_rank(self, placement: Placement) -> int:
        """Rank a placement by the claimable cell that it splits, the smallest first.

        Among cells of one size, the rack with the fewest whole claimable
        servers comes first.
        """
        part = placement.slices[0]
        server = self._servers[part.server]
        whole_servers = self._whole_claimable(server.server_spec.rack)
        cell = largest_cell(server.server_spec.size, server.claimable | part.mask, part.mask)
        return cell * 64 + whole_servers

    def _whole_claimable(self, rack: int) -> int:
        """Return the number of servers in a rack that an unbound shape can claim whole."""
        return sum(1 for server in self._racks[rack] if server.claimable == server.whole)

    def _free_placements(
        self, accelerators: int, across_racks: bool, avoid: frozenset[str]
    ) -> list[Placement]:
        """List the free placements, those that fragment the free accelerators least first."""
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
        """Rank a free placement by how little it fragments the free accelerators.

        Args:
            placement: The placement.
            usable: A bit mask of the usable accelerators of each server.
            whole_free: The number of free whole servers in each rack.

        Returns:
            A key that sorts the best placement first.
        """
        part = placement.slices[0]
        server = self._servers[part.server]
        split_size = largest_cell(server.server_spec.size, usable[part.server], part.mask)
        bound = int(self._overlaps_bound_shape(placement))
        return (
            bound,
            len(placement.slices),
            split_size,
            whole_free[server.server_spec.rack],
            server.server_spec.rack,
        )

    def _candidate_placements(
        self, accelerators: int, usable: dict[str, int], across_racks: bool, cost: Cost
    ) -> list[Placement]:
        """List the placements for a gang within the usable accelerators.

        Args:
            accelerators: The number of accelerators in the gang.
            usable: A bit mask of the usable accelerators of each server.
            across_racks: Whether the gang may span adjacent racks.
            cost: The cost of preempting an allocation, to choose whole servers.

        Returns:
            The placements, in the order of the servers.
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
        """List the positions for a gang within single servers."""
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
        """List placements that span adjacent racks."""
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
        """Place a gang on whole servers, and its remainder on part of another one.

        Args:
            accelerators: The number of accelerators in the gang.
            servers: A group of adjacent servers.
            usable: A bit mask of the usable accelerators of each server.
            cost: The cost of preempting an allocation.

        Returns:
            The placement, or None when the gang does not fit.
        """
        whole = [s for s in servers if usable.get(s.server_spec.server, 0) == s.whole]
        whole.sort(key=lambda s: sum(cost(name) for name in s.owners))
        slices = []
        remaining = accelerators
        for server in whole:
            if remaining < server.server_spec.size:
                break
            slices.append(Slice(server.server_spec.server, server.whole))
            remaining -= server.server_spec.size
        if remaining == 0:
            return Placement(tuple(slices))
        taken = {part.server for part in slices}
        rest = {s.server_spec.server: usable.get(s.server_spec.server, 0) for s in servers}
        rest = {name: free for name, free in rest.items() if name not in taken}
        if remaining >= min((s.server_spec.size for s in servers), default=0):
            return None
        cells = self._cell_placements(remaining, rest)
        if not cells:
            return None
        best = min(cells, key=lambda cell: self._leftover_rank(cell, rest))
        return Placement((*slices, *best.slices))

    def _leftover_rank(self, cell: Placement, rest: dict[str, int]) -> int:
        """Return the size of the cell that the remainder of a gang would split."""
        part = cell.slices[0]
        size = self._servers[part.server].server_spec.size
        return largest_cell(size, rest[part.server], part.mask)


def _uses_any(placement: Placement, servers: frozenset[str]) -> bool:
    """Return whether a placement uses any of the servers."""
    return any(part.server in servers for part in placement.slices)


def _find_shape(shapes: list[Shape], workspace: str, accelerators: int) -> Shape | None:
    """Return a shape of the workspace and size, or None."""
    for shape in shapes:
        if (shape.workspace, shape.accelerators) == (workspace, accelerators):
            return shape
    return None
