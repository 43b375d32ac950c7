"""Command line that starts an emulator."""

import threading

import fire

from ._apps import backend_app, list_app, log_app
from ._backend_server import BackendServer
from ._http import serve_json
from ._instance_list import InstanceList
from ._log_store import LogStore


class Emulators:
    """Commands that run emulators on loopback."""

    def platform(self, log_port: int, list_port: int, *, ip: str = "127.0.0.1", lag_s: float = 1.0):
        """Run the log service and the instance list.

        Args:
            log_port: Port of the log service.
            list_port: Port of the instance list.
            ip: IP address to listen on.
            lag_s: Delay in seconds after which readers see a change of the list.
        """
        log = serve_json(ip, log_port, log_app(LogStore()), threads=32)
        listing = serve_json(ip, list_port, list_app(InstanceList(lag_s=lag_s)), threads=16)
        _serve_all([log, listing])

    def backends(self, zone: str, ports: str, *, ip: str = "127.0.0.1"):
        """Run backend servers of one availability zone.

        Args:
            zone: Name of the zone.
            ports: Ports of the servers, separated by commas.
            ip: IP address to listen on.
        """
        port_list = ports if isinstance(ports, tuple) else (ports,)
        servers = []
        for number, port in enumerate(port_list):
            server = BackendServer(f"{zone}-s{number:03}")
            servers.append(serve_json(ip, int(port), backend_app(server), threads=6))
        _serve_all(servers)


def _serve_all(servers: list) -> None:
    """Run each HTTP server on its own thread until the process ends."""
    threads = [threading.Thread(target=server.start, daemon=True) for server in servers]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


if __name__ == "__main__":
    fire.Fire(Emulators)
