"""Know what each backend server has, and who takes it."""

from dataclasses import dataclass, field

from catkinknot.jobs import Resources, Step

__all__ = ["Occupant", "ServerCapacity"]


@dataclass(slots=True)
class Occupant:
    """Take room on a server until its end is known.

    Attributes:
        task: Name of the task.
        group: What is stopped with it: the gang, or the task alone.
        step: The occurrence of a step it belongs to.
        need: What it takes.
        priority: Of its queue; 0 comes first.
        guaranteed: Whether it runs on its workspace's guarantee.
        unsaved_core_s: Work that a stop would throw away, in core-seconds.
        pinned: Whether it must not be stopped for others.
    """

    task: str
    group: str
    step: str
    need: Resources
    priority: int
    guaranteed: bool = False
    unsaved_core_s: float = 0.0
    pinned: bool = False


@dataclass(slots=True)
class ServerCapacity:
    """Hold one lifetime of a backend server.

    Attributes:
        server: Its lifetime.
        zone: Its availability zone.
        rack: Its rack.
        labels: Its labels.
        service: The pool it serves.
        capacity: What it has.
        schedulable: Whether new tasks may start there.
        occupants: Who takes its capacity, by name of the task; changed by
            `put` and `remove` only.
        used: What they take together.
        reserved: What is kept free for a step that waits for victims to end.
    """

    server: str
    zone: str
    rack: str
    labels: frozenset[str]
    service: str
    capacity: Resources
    schedulable: bool = True
    occupants: dict[str, Occupant] = field(default_factory=dict)
    used: Resources = field(default_factory=Resources)
    reserved: dict[str, Resources] = field(default_factory=dict)

    def put(self, occupant: Occupant) -> None:
        """Let a task take room here."""
        self.remove(occupant.task)
        self.occupants[occupant.task] = occupant
        self.used += occupant.need

    def remove(self, task: str) -> None:
        """Free the room of a task, if it is here."""
        occupant = self.occupants.pop(task, None)
        if occupant is not None:
            self.used -= occupant.need

    def free(self, *, excluding: str = "") -> Resources:
        """Return what nobody takes or keeps.

        Args:
            excluding: A step whose own reservation does not count.
        """
        left = self.capacity - self.used
        for step, kept in self.reserved.items():
            if step != excluding:
                left -= kept
        return left

    def count_of(self, step: str) -> int:
        """Return how many tasks of a step are here."""
        return sum(occupant.step == step for occupant in self.occupants.values())

    def takes(self, service: str, step: Step) -> bool:
        """Tell whether tasks of a step may run here at all."""
        return self.schedulable and self.service == service and set(step.labels) <= self.labels
