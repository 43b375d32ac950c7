"""Relay connections on loopback, and harm them on demand."""

import socket
import struct
import threading
import time
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import Enum

from catkinknot_standins import IP

__all__ = ["Proxy", "ProxyFault", "open_proxy"]

CHUNK_BYTES = 65536

LOOK_S = 0.2
"""How long a break of connections may take to be seen."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ProxyFault(Enum):
    """Say what happens to bytes."""

    NONE = "none"
    SILENCE = "silence"
    NO_ANSWERS = "answers are lost"
    DELAY = "delay"


@dataclass(eq=False)
class _Pair:
    """Hold both ends of a connection; one that lost a byte carries nothing more."""

    near: socket.socket
    far: socket.socket
    dead: bool = False
    broken: bool = False

    def reset(self) -> None:
        """Close both ends at once."""
        for sock in (self.near, self.far):
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
                sock.close()
            except OSError:
                pass  # It is closed already, which is what was wanted.


@dataclass
class Proxy:
    """Relay to one address.

    Attributes:
        far: The port on loopback that connections go on to.
        harm: What happens to what passes.
        delay_s: How long each piece is held up by `ProxyFault.DELAY`.
    """

    far: int
    harm: ProxyFault = ProxyFault.NONE
    delay_s: float = 0.2
    port: int = 0
    _pairs: list[_Pair] = field(default_factory=list)

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"{IP}:{self.port}"

    def reset_all(self) -> None:
        """Break every open connection."""
        pairs, self._pairs = self._pairs, []
        for pair in pairs:
            pair.broken = True

    def serve(self, listener: socket.socket) -> None:
        """Take connections until the listener is closed."""
        while True:
            try:
                near, _ = listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection((IP, self.far), timeout=1.0)
            except OSError:
                near.close()
                continue
            pair = _Pair(near, far)
            self._pairs = [one for one in self._pairs if one.near.fileno() >= 0] + [pair]
            for source, sink, answers in ((near, far, False), (far, near, True)):
                args = (pair, source, sink, answers)
                threading.Thread(target=self._pump, args=args, daemon=True).start()

    def _pump(self, pair: _Pair, source: socket.socket, sink: socket.socket, answers: bool) -> None:
        """Carry bytes one way until an end closes."""
        try:
            source.settimeout(LOOK_S)
            while data := self._receive(pair, source):
                lost = self.harm is ProxyFault.SILENCE or (
                    answers and self.harm is ProxyFault.NO_ANSWERS
                )
                pair.dead = pair.dead or lost
                if pair.dead:
                    continue
                if self.harm is ProxyFault.DELAY:
                    time.sleep(self.delay_s)
                sink.sendall(data)
        except OSError:
            pass  # The other end is closed below.
        if pair.broken or not pair.dead:
            pair.reset()

    def _receive(self, pair: _Pair, source: socket.socket) -> bytes:
        """Return the next bytes, none once the connection is closed or broken.

        A socket that is closed under a waiting `recv` stays open until that
        returns, so no wait is long.
        """
        while not pair.broken:
            try:
                return source.recv(CHUNK_BYTES)
            except TimeoutError:
                continue
        return b""


@contextmanager
def open_proxy(far: int, port: int = 0):
    """Relay to a port on loopback until the context closes.

    Args:
        far: The port that connections go on to.
        port: Where to listen, 0 for any free port.
    """
    with socket.create_server((IP, port)) as listener:
        proxy = Proxy(far, port=listener.getsockname()[1])
        threading.Thread(target=proxy.serve, args=(listener,), daemon=True).start()
        try:
            yield proxy
        finally:
            listener.shutdown(socket.SHUT_RDWR)
            proxy.reset_all()
