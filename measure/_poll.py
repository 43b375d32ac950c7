"""Measure the bytes of one idle poll, headers included."""

import socket
import threading

from catkinknot.backends import Claim, Epoch, HttpBackendClient, Poll
from catkinknot.model import Address
from catkinknot_standins import BackendServer, backend_app, serve_json

from ._report import Report

__all__ = ["measure_poll"]

_POLLS = 50
_CHUNK = 65_536


class _Relay:
    """Pass bytes between a client and a server and count them."""

    def __init__(self, port: int) -> None:
        """Listen on a free port.

        Args:
            port: Where the server listens.
        """
        self.total = 0
        self._port = port
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        """Relay every connection."""
        while True:
            near, _ = self._listener.accept()
            far = socket.create_connection(("127.0.0.1", self._port))
            for source, sink in ((near, far), (far, near)):
                threading.Thread(target=self._pass, args=(source, sink), daemon=True).start()

    def _pass(self, source: socket.socket, sink: socket.socket) -> None:
        """Pass bytes one way until the connection ends."""
        while chunk := source.recv(_CHUNK):
            self.total += len(chunk)
            sink.sendall(chunk)


def measure_poll(report: Report) -> None:
    """Poll an idle stand-in server through a relay.

    Args:
        report: Where to add the measure.
    """
    server = serve_json("127.0.0.1", 0, backend_app(BackendServer("large-s000")))
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    relay = _Relay(server.bind_addr[1])
    client = HttpBackendClient("large-s000", Address("127.0.0.1", relay.port))
    holder, epoch = "zone-name-1:0123abcd", Epoch(12)
    client.claim(Claim(holder, epoch, 60.0))
    before = relay.total
    for _ in range(_POLLS):
        client.poll(Poll(holder, epoch, 46.0, 0, 0.0, 120.0))
    report.add("one idle poll with its headers", "bytes", (relay.total - before) / _POLLS)
    server.stop()
