"""TCP proxy on loopback with injectable faults."""

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

RECEIVE_TIMEOUT_S = 0.2
"""Longest time after which a reset connection is noticed."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ProxyFault(Enum):
    """Fault that a proxy applies to the data it relays."""

    NONE = "none"
    SILENCE = "silence"
    NO_ANSWERS = "answers are lost"
    DELAY = "delay"


@dataclass(eq=False)
class _Connection:
    """Relayed connection; once data was lost, it relays nothing more."""

    client: socket.socket
    target: socket.socket
    data_lost: bool = False
    broken: bool = False

    def reset(self) -> None:
        """Reset both sockets."""
        for sock in (self.client, self.target):
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
                sock.close()
            except OSError:
                pass  # The socket is closed already.


@dataclass
class Proxy:
    """TCP proxy to one port on loopback.

    Attributes:
        target_port: Port that connections are relayed to.
        fault: Fault that is applied to relayed data.
        delay_s: Delay of each chunk under `ProxyFault.DELAY`.
        port: Port that the proxy listens on.
    """

    target_port: int
    fault: ProxyFault = ProxyFault.NONE
    delay_s: float = 0.2
    port: int = 0
    _connections: list[_Connection] = field(default_factory=list)

    @property
    def address(self) -> str:
        """Address that the proxy listens on."""
        return f"{IP}:{self.port}"

    def reset_all(self) -> None:
        """Reset all open connections."""
        connections, self._connections = self._connections, []
        for connection in connections:
            connection.broken = True

    def serve(self, listener: socket.socket) -> None:
        """Accept connections until the listener is closed."""
        while True:
            try:
                client, _ = listener.accept()
            except OSError:
                return
            try:
                target = socket.create_connection((IP, self.target_port), timeout=1.0)
            except OSError:
                client.close()
                continue
            connection = _Connection(client, target)
            self._connections = [
                item for item in self._connections if item.client.fileno() >= 0
            ] + [connection]
            for source, sink, answers in ((client, target, False), (target, client, True)):
                args = (connection, source, sink, answers)
                threading.Thread(target=self._pump, args=args, daemon=True).start()

    def _pump(
        self, connection: _Connection, source: socket.socket, sink: socket.socket, answers: bool
    ) -> None:
        """Relay data in one direction until a socket closes."""
        try:
            source.settimeout(RECEIVE_TIMEOUT_S)
            while data := self._receive(connection, source):
                lost = self.fault is ProxyFault.SILENCE or (
                    answers and self.fault is ProxyFault.NO_ANSWERS
                )
                connection.data_lost = connection.data_lost or lost
                if connection.data_lost:
                    continue
                if self.fault is ProxyFault.DELAY:
                    time.sleep(self.delay_s)
                sink.sendall(data)
        except OSError:
            pass  # The other socket is closed below.
        if connection.broken or not connection.data_lost:
            connection.reset()

    def _receive(self, connection: _Connection, source: socket.socket) -> bytes:
        """Return the next data, empty once the connection is closed or reset.

        A socket that is closed during a `recv` in another thread stays open
        until that `recv` returns, so each `recv` has a short timeout.
        """
        while not connection.broken:
            try:
                return source.recv(CHUNK_BYTES)
            except TimeoutError:
                continue
        return b""


@contextmanager
def open_proxy(target_port: int, port: int = 0):
    """Relay to a port on loopback until the context closes.

    Args:
        target_port: Port that connections are relayed to.
        port: Port to listen on, 0 for any free port.
    """
    with socket.create_server((IP, port)) as listener:
        proxy = Proxy(target_port, port=listener.getsockname()[1])
        threading.Thread(target=proxy.serve, args=(listener,), daemon=True).start()
        try:
            yield proxy
        finally:
            listener.shutdown(socket.SHUT_RDWR)
            proxy.reset_all()
