"""Schedule of the faults of one run, drawn from its seed."""

import random
from dataclasses import dataclass
from enum import Enum

__all__ = ["Event", "Kind", "draw_faults"]

MAX_FAULT_DURATION_S = 6.0
"""Longest time for which a fault lasts or a process is paused."""


class Kind(Enum):
    """Kind of fault; the value describes it in the report."""

    KILL = "kill an instance"
    KILL_LEADER = "kill the leader"
    KILL_ALL = "kill all instances"
    STOP = "stop an instance gracefully"
    PAUSE = "pause an instance"
    PAUSE_LEADER = "pause the leader"
    RELOAD = "make an instance reload its settings"
    STORE_UNRESPONSIVE = "an instance's route to the store drops all data"
    STORE_ONE_WAY = "the store's answers to an instance are lost"
    STORE_SLOW = "an instance's route to the store is slow"
    STORE_RESET = "an instance's connections to the store are reset"
    STORE_REFUSES = "the store refuses calls of an instance"
    STORE_DROPS_ANSWERS = "the store applies appends without an answer"
    STORE_DELAYS = "the store applies appends late, without an answer"
    STORE_UNAVAILABLE = "the store refuses calls of all instances"
    STORE_COMPACTS = "the store deletes its history"
    SERVER_UNRESPONSIVE = "the route to a server drops all data"
    SERVER_ONE_WAY = "a server's answers are lost"
    SERVER_SLOW = "the route to a server is slow"
    SERVER_RESET = "connections to a server are reset"
    SERVER_RESTARTS = "a server crashes and restarts"
    SERVER_DRAINS = "a server drains, leaves and restarts"
    SERVER_LATE = "a server executes orders late"
    CALLERS_RESET = "callers' connections to an instance are reset"
    NEW_CONFIG = "publish a configuration with another queue"


@dataclass(frozen=True)
class Event:
    """Injection of a fault at a given time.

    Attributes:
        at_s: Seconds from the start of the fault phase.
        kind: Kind of the fault.
        pick: Random number that selects the instance or server.
        for_s: Duration of the fault.
    """

    at_s: float
    kind: Kind
    pick: int
    for_s: float

    def __str__(self) -> str:
        """Return a line for the report."""
        return f"{self.at_s:5.1f} s  {self.kind.value} ({self.pick}) for {self.for_s:.1f} s"


def draw_faults(seed: int, seconds: float) -> list[Event]:
    """Return the faults of a run in order of time; some occur in series and overlap.

    Args:
        seed: Seed of the random numbers.
        seconds: Duration of the fault phase.
    """
    rng = random.Random(seed)
    events = []
    for _ in range(rng.randint(3, 8)):
        kind = rng.choice(list(Kind))
        at_s = rng.uniform(0.5, seconds)
        gap_s = rng.uniform(0.2, 2.0)
        for n in range(rng.choice((1, 1, 1, 2, 3))):
            for_s = rng.uniform(0.3, MAX_FAULT_DURATION_S)
            events.append(Event(at_s + n * gap_s, kind, rng.randrange(1000), for_s))
    return sorted(events, key=lambda event: event.at_s)
