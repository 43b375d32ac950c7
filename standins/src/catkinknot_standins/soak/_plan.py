"""Draw the faults of one run from its seed."""

import random
from dataclasses import dataclass
from enum import Enum

__all__ = ["Event", "Kind", "draw"]

LONGEST_PAUSE_S = 6.0
"""A paused process wakes after this at the latest."""


class Kind(Enum):
    """Name a fault."""

    KILL = "kill an instance"
    KILL_LEADER = "kill the leader"
    KILL_ALL = "kill all instances"
    STOP = "stop an instance gracefully"
    PAUSE = "pause an instance"
    PAUSE_LEADER = "pause the leader"
    RELOAD = "tell an instance to read its settings"
    STORE_SILENT = "an instance's way to the store is silent"
    STORE_ONE_WAY = "the store's answers to an instance are lost"
    STORE_SLOW = "an instance's way to the store is slow"
    STORE_RESET = "an instance's connections to the store break"
    STORE_REFUSES = "the store refuses an instance"
    STORE_LOSES = "the store does appends and does not answer"
    STORE_DELAYS = "the store does appends later, unanswered"
    STORE_AWAY = "the store refuses everybody"
    STORE_FORGETS = "the store forgets its history"
    SERVER_SILENT = "a server is cut off"
    SERVER_ONE_WAY = "a server's answers are lost"
    SERVER_SLOW = "the way to a server is slow"
    SERVER_RESET = "connections to a server break"
    SERVER_REBORN = "a server crashes and starts again"
    SERVER_DRAINS = "a server drains, leaves and comes back"
    SERVER_LATE = "a server carries orders out late"
    CALLERS_RESET = "callers' connections to an instance break"
    NEW_CONFIG = "the configuration gets another queue"


@dataclass(frozen=True)
class Event:
    """Say when a fault strikes.

    Attributes:
        at_s: Seconds from the start.
        kind: What happens.
        pick: Chooses the instance or server.
        for_s: How long it lasts.
    """

    at_s: float
    kind: Kind
    pick: int
    for_s: float

    def __str__(self) -> str:
        """Return a line for the report."""
        return f"{self.at_s:5.1f} s  {self.kind.value} ({self.pick}) for {self.for_s:.1f} s"


def draw(seed: int, seconds: float) -> list[Event]:
    """Return the faults of a run, in order; some come in series and overlap.

    Args:
        seed: What the faults are drawn from.
        seconds: How long the run lasts before it has to settle.
    """
    rng = random.Random(seed)
    events = []
    for _ in range(rng.randint(3, 8)):
        kind = rng.choice(list(Kind))
        at_s = rng.uniform(0.5, seconds)
        gap_s = rng.uniform(0.2, 2.0)
        for n in range(rng.choice((1, 1, 1, 2, 3))):
            for_s = rng.uniform(0.3, LONGEST_PAUSE_S)
            events.append(Event(at_s + n * gap_s, kind, rng.randrange(1000), for_s))
    return sorted(events, key=lambda event: event.at_s)
