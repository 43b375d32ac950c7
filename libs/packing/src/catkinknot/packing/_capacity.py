"""Track the capacity of backend servers and the task runs that occupy it."""

from dataclasses import dataclass, field

from catkinknot.jobs import Resources, Step

__all__ = ["Occupant", "ServerCapacity"]


@dataclass(slots=True)
class Occupant:
    """Task run that occupies a server's capacity until its end is known.

    Attributes:
        task: Name of the task.
        group: Name of the tasks that are preempted together: the gang, or the
            task alone.
        step: Key of the step's occurrence that the task belongs to.
        need: Resources that the run occupies.
        priority: Priority of the job's queue; 0 is the highest.
        guaranteed: Whether the run is covered by its workspace's guarantee.
        unsaved_core_s: Work lost if the run is stopped now, in core-seconds.
        resumable: Whether the run saves a checkpoint when it is stopped.
        pinned: Whether the run must not be preempted.
    """

    task: str
    group: str
    step: str
    need: Resources
    priority: int
    guaranteed: bool = False
    unsaved_core_s: float = 0.0
    resumable: bool = False
    pinned: bool = False


@dataclass(slots=True)
class ServerCapacity:
    """Capacity of one lifetime of a backend server, and what uses it.

    Attributes:
        server: Identifier of the server's lifetime.
        zone: The server's availability zone.
        rack: The server's rack.
        labels: The server's labels.
        service: Pool that the server belongs to.
        capacity: All resources of the server.
        schedulable: Whether new tasks may start on the server.
        quarantined: Whether only tasks that can start nowhere else may start.
        occupants: Task runs on the server, by name of the task; changed by
            `put` and `remove` only.
        used: Resources that the occupants use together.
        reserved: Resources reserved for steps whose victims have yet to end,
            by key of the step.
    """

    server: str
    zone: str
    rack: str
    labels: frozenset[str]
    service: str
    capacity: Resources
    schedulable: bool = True
    quarantined: bool = False
    occupants: dict[str, Occupant] = field(default_factory=dict)
    used: Resources = field(default_factory=Resources)
    reserved: dict[str, Resources] = field(default_factory=dict)

    def put(self, occupant: Occupant) -> None:
        """Add an occupant, replacing one of the same task."""
        self.remove(occupant.task)
        self.occupants[occupant.task] = occupant
        self.used += occupant.need

    def remove(self, task: str) -> None:
        """Remove a task's occupant, if there is one."""
        occupant = self.occupants.pop(task, None)
        if occupant is not None:
            self.used -= occupant.need

    def free(self, *, excluding: str = "") -> Resources:
        """Return the resources that are neither used nor reserved.

        Args:
            excluding: Key of a step whose own reservation is ignored.
        """
        available = self.capacity - self.used
        for step, reserved in self.reserved.items():
            if step != excluding:
                available -= reserved
        return available

    def count_of(self, step: str) -> int:
        """Return how many tasks of a step occupy the server."""
        return sum(occupant.step == step for occupant in self.occupants.values())

    def accepts(self, service: str, step: Step, *, last_resort: bool = False) -> bool:
        """Return whether tasks of a step may start here, regardless of free capacity.

        Args:
            service: Pool that the tasks must run in.
            step: The step.
            last_resort: Whether the tasks can start nowhere else.
        """
        usable = self.schedulable or (last_resort and self.quarantined)
        return usable and self.service == service and set(step.labels) <= self.labels
