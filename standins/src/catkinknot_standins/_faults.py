"""Injectable faults of an emulator."""

from pydantic.dataclasses import dataclass

__all__ = ["Faults"]


@dataclass
class Faults:
    """Faults of an emulator; by default there are none.

    Attributes:
        out: Fail every request without executing it.
        lose_answers: Execute each request but report that its answer was lost.
        slow_s: Seconds by which each answer is delayed.
        fail_all: Fail every task.
        fail_every: Fail every n-th task, 0 for none.
    """

    out: bool = False
    lose_answers: bool = False
    slow_s: float = 0.0
    fail_all: bool = False
    fail_every: int = 0
