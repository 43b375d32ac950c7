"""List of the other instances, as read from the store."""

import json
import threading
from collections.abc import Callable

from loguru import logger

from ._store import PEERS, Record, Store
from .exceptions import StoreError

__all__ = ["PeerList"]

REFRESH_S = 8.0
"""Time between two reads of the list of instances."""

RETRY_S = 0.5
"""Pause after a failed read."""


class PeerList:
    """Registers this instance, and keeps a route to the store through each other instance."""

    def __init__(
        self,
        instance: str,
        address: str,
        *,
        seeds: tuple[str, ...],
        make_route: Callable[[str], Store],
    ) -> None:
        """Create a list that holds the seeds.

        Args:
            instance: Name of this instance.
            address: Address of the relay of this instance.
            seeds: Relay addresses of some instances, which may be stale.
            make_route: Returns the route to the store through an address.
        """
        self._instance = instance
        self._address = address
        self._make_route = make_route
        self._log = logger.bind(part="peers")
        self._routes = {seed: make_route(seed) for seed in seeds if seed != address}

    def routes(self) -> dict[str, Store]:
        """Return the routes through other instances, by address."""
        return self._routes

    def run(self, store: Store, stopped: threading.Event) -> None:
        """Register this instance, then read the list periodically until stopped."""
        registered = False
        pause_s = 0.0
        while not stopped.wait(pause_s):
            try:
                if not registered:
                    store.append(PEERS, [self._own_record()])
                    registered = True
                self.apply(store.newest(PEERS).records)
                pause_s = REFRESH_S
            except StoreError as exc:
                self._log.bind(reason=exc.message).debug("The list of instances is unavailable.")
                pause_s = RETRY_S

    def apply(self, records: dict[str, bytes]) -> None:
        """Apply the list of instances.

        An instance that restarts at another address replaces its own record,
        so the list holds one record per instance of the deployment.
        """
        found = {}
        for name, value in records.items():
            try:
                address = str(json.loads(value)["address"])
            except (ValueError, KeyError, TypeError) as exc:
                self._log.bind(key=name, reason=str(exc)[:200]).error(
                    "An instance record can't be read."
                )
                continue
            if address != self._address:
                found[address] = self._routes.get(address) or self._make_route(address)
        self._routes = found

    def _own_record(self) -> Record:
        """Return the record with the address of this instance."""
        return Record(self._instance, json.dumps({"address": self._address}).encode())
