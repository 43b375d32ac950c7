"""Allocation of loopback ports for processes to listen on."""

import itertools
import os
import socket

__all__ = ["IP", "free_ports"]

IP = "127.0.0.1"

_PORTS = itertools.cycle(range(20_000 + os.getpid() % 100 * 120, 32_000))
"""Candidate ports, starting at a different port in each process."""


def free_ports(count: int) -> list[int]:
    """Return ports on which nothing listens now.

    The ports are below the kernel's ephemeral range, so that no outgoing
    connection takes a port before its process listens.
    """
    found: list[int] = []
    while len(found) < count:
        port = next(_PORTS)
        with socket.socket() as sock:
            try:
                sock.bind((IP, port))
            except OSError:
                continue
        found.append(port)
    return found
