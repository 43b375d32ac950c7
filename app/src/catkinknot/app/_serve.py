"""Run one instance until it receives a signal to stop."""

import signal
import threading
import time

from cheroot import wsgi

from catkinknot.journal import part_logger, set_up_logs
from catkinknot.model import Settings

from ._compose import Instance, connect_services, open_instance
from ._entry import build_server

__all__ = ["serve"]

_LEAVE_NOTICE_S = 3.0
"""How long load balancers and peers have to notice that the instance is leaving."""

_POLL_INTERVAL_S = 0.1

log = part_logger("main")


def serve(settings: Settings) -> None:
    """Run an instance until SIGTERM or SIGINT, then shut down gracefully.

    Args:
        settings: The checked settings.
    """
    set_up_logs(settings.instance, form=settings.log_form, level=settings.log_level)
    stop = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop.set())
    with open_instance(settings, connect_services(settings)) as instance:
        server = build_server(instance)
        server.prepare()
        thread = threading.Thread(target=server.serve, name="http", daemon=True)
        thread.start()
        log.info("The HTTP server listens on {}.", settings.http)
        stop.wait()
        _shut_down(instance, server)
    log.info("This instance has stopped.")


def _shut_down(instance: Instance, server: wsgi.Server) -> None:
    """Leave, finish the running work, then stop the HTTP server."""
    log.info("This instance is leaving.")
    began_s = time.monotonic()
    instance.leave()
    until_s = began_s + instance.settings.drain_s
    while time.monotonic() < until_s:
        noticed = time.monotonic() - began_s >= _LEAVE_NOTICE_S
        if noticed and instance.drained():
            break
        time.sleep(_POLL_INTERVAL_S)
    server.stop()
