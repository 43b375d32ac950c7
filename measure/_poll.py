"""Measure the bytes of one idle poll, headers included."""

import socket
import threading

from catkinknot.backends import Claim, Epoch, HttpBackendClient, Poll
from catkinknot.model import Address
from catkinknot_standins import BackendServer, backend_app, serve_json

from ._report import Report

__all__ = ["measure_poll"]

_POLL_COUNT = 50
_CHUNK_BYTES = 65_536


class _CountingProxy:
    """TCP proxy that counts the bytes between a client and a server."""

    def __init__(self, port: int) -> None:
        """Create a proxy that listens on a free port.

        Args:
            port: The port of the server.
        """
        self.byte_count = 0
        self._port = port
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        """Accept connections and forward their bytes in both directions."""
        while True:
            client_side, _ = self._listener.accept()
            server_side = socket.create_connection(("127.0.0.1", self._port))
            for source, sink in ((client_side, server_side), (server_side, client_side)):
                threading.Thread(target=self._forward, args=(source, sink), daemon=True).start()

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        """Forward bytes in one direction until the connection ends."""
        while chunk := source.recv(_CHUNK_BYTES):
            self.byte_count += len(chunk)
            sink.sendall(chunk)


def measure_poll(report: Report) -> None:
    """Poll an idle emulated server through a proxy.

    Args:
        report: Where to add the measure.
    """
    server = serve_json("127.0.0.1", 0, backend_app(BackendServer("large-s000")))
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    proxy = _CountingProxy(server.bind_addr[1])
    client = HttpBackendClient("large-s000", Address("127.0.0.1", proxy.port))
    holder, epoch = "zone-name-1:0123abcd", Epoch(12)
    client.claim(Claim(holder, epoch, 60.0))
    bytes_before = proxy.byte_count
    for _ in range(_POLL_COUNT):
        client.poll(Poll(holder, epoch, 46.0, 0, 0.0, 120.0))
    report.add(
        "one idle poll with its headers", "bytes", (proxy.byte_count - bytes_before) / _POLL_COUNT
    )
    server.stop()
