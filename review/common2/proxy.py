"""TCP proxy on loopback that can be cut: then it drops what either side sends."""

import socket
import threading


class Proxy:
    """Relay to one address.

    Attributes:
        cut: While true, nothing passes; a connection that lost bytes stays silent.
    """

    def __init__(self, target: str) -> None:
        """Listen on a free port."""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self.cut = False
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            threading.Thread(target=self._open, args=(client,), daemon=True).start()

    def _open(self, client: socket.socket) -> None:
        try:
            target = socket.create_connection(self._target, timeout=2.0)
        except OSError:
            client.close()
            return
        target.settimeout(None)
        state = {"lost": False}
        for source, sink in ((client, target), (target, client)):
            args = (source, sink, state)
            threading.Thread(target=self._pump, args=args, daemon=True).start()

    def _pump(self, source: socket.socket, sink: socket.socket, state: dict) -> None:
        """Relay one direction until a side closes."""
        try:
            while data := source.recv(65536):
                state["lost"] = state["lost"] or self.cut
                if not state["lost"]:
                    sink.sendall(data)
        except OSError:
            pass
        for sock in (source, sink):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
