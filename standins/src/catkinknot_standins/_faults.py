"""Switch faults of a stand-in on and off."""

from pydantic.dataclasses import dataclass

__all__ = ["Faults"]


@dataclass
class Faults:
    """Say what a stand-in does wrong.

    Attributes:
        out: Answer nothing good, without any effect.
        lose_answers: Carry requests out but answer nothing good.
        slow_s: Answer this many seconds late.
        fail_all: Let every task fail.
        fail_every: Let every n-th task fail, 0 for none.
    """

    out: bool = False
    lose_answers: bool = False
    slow_s: float = 0.0
    fail_all: bool = False
    fail_every: int = 0
