"""Name what a program must supply to send its own messages."""

from typing import Protocol, TypeVar

from pydantic.dataclasses import dataclass

__all__ = ["Codec", "Header"]

M = TypeVar("M")


@dataclass(frozen=True)
class Header:
    """Go before each message.

    Attributes:
        number: Matches an answer with its question, 0 when none is wanted.
        sender: The sending instance.
        stamp: The sender's logical time.
    """

    number: int
    sender: str
    stamp: str = ""


class Codec(Protocol[M]):
    """Turn messages into bytes and back."""

    def encode(self, message: M) -> bytes:
        """Write a message."""

    def decode(self, raw: bytes) -> M:
        """Read a message, or raise `BadInputError`."""
