"""Know the other instances from the store."""

import json
import threading
from collections.abc import Callable

from loguru import logger

from ._store import PEERS, Record, Store
from .exceptions import StoreError

__all__ = ["PeerList"]

REFRESH_S = 8.0
"""Time between two looks at the list of instances."""

RETRY_S = 0.5
"""Pause after a look that failed."""


class PeerList:
    """Register this instance, and keep a way to the store through each other one."""

    def __init__(
        self,
        instance: str,
        address: str,
        *,
        seeds: tuple[str, ...],
        make_route: Callable[[str], Store],
    ) -> None:
        """Begin with the seeds.

        Args:
            instance: This instance.
            address: Where others reach its relay.
            seeds: Addresses of some instances, which may be stale.
            make_route: Returns the way to the store through an address.
        """
        self._instance = instance
        self._address = address
        self._make_route = make_route
        self._log = logger.bind(part="peers")
        self._routes = {seed: make_route(seed) for seed in seeds if seed != address}

    def routes(self) -> dict[str, Store]:
        """Return the ways through other instances, by address."""
        return self._routes

    def run(self, store: Store, stopped: threading.Event) -> None:
        """Register, then look at the list over and over."""
        registered = False
        pause_s = 0.0
        while not stopped.wait(pause_s):
            try:
                if not registered:
                    store.append(PEERS, [self._own_record()])
                    registered = True
                self.take(store.newest(PEERS).records)
                pause_s = REFRESH_S
            except StoreError as exc:
                self._log.bind(reason=exc.message).debug("The list of instances is away.")
                pause_s = RETRY_S

    def take(self, records: dict[str, bytes]) -> None:
        """Take the list of instances.

        An instance that comes back elsewhere replaces its own record, so the
        list stays as long as the deployment is large.
        """
        found = {}
        for name, value in records.items():
            try:
                address = str(json.loads(value)["address"])
            except (ValueError, KeyError, TypeError) as exc:
                self._log.bind(key=name, reason=str(exc)[:200]).error("A record can't be read.")
                continue
            if address != self._address:
                found[address] = self._routes.get(address) or self._make_route(address)
        self._routes = found

    def _own_record(self) -> Record:
        """Return the record that says where this instance is."""
        return Record(self._instance, json.dumps({"address": self._address}).encode())
