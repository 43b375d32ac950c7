"""Header of each message, and the codec that the application supplies."""

from typing import Protocol, TypeVar

from pydantic.dataclasses import dataclass

__all__ = ["Codec", "Header"]

M = TypeVar("M")


@dataclass(frozen=True)
class Header:
    """Header of a message, sent as a frame of its own.

    Attributes:
        number: Number of the request, repeated in its response; 0 for a
            message without a response.
        sender: The sending instance.
        stamp: The sender's logical time, empty for none.
    """

    number: int
    sender: str
    stamp: str = ""


class Codec(Protocol[M]):
    """Codec of the application's messages."""

    def encode(self, message: M) -> bytes:
        """Encode a message."""

    def decode(self, raw: bytes) -> M:
        """Decode a message, or raise `BadInputError`."""
