"""List of the other instances, as read from the store."""

import json
import threading
import zlib
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
    """Registers this instance, and keeps a route to the store through each other instance.

    Attributes:
        rank: Position of this instance in the order in which instances claim a vacant
            leadership, None before the list was read. Instances with more processor
            time come first. The order does not change while instances come and go, so
            a rolling restart soon leads to one that has been restarted already.
    """

    def __init__(
        self,
        instance: str,
        address: str,
        *,
        cores: float,
        seeds: tuple[str, ...],
        make_route: Callable[[str], Store],
    ) -> None:
        """Create a list that holds the seeds.

        Args:
            instance: Name of this instance.
            address: Address of the relay of this instance.
            cores: Processor time of this instance, in cores.
            seeds: Relay addresses of some instances, which may be stale.
            make_route: Returns the route to the store through an address.
        """
        self._instance = instance
        self._address = address
        self._cores = cores
        self._make_route = make_route
        self._log = logger.bind(part="peers")
        self._routes = {seed: make_route(seed) for seed in seeds if seed != address}
        self._addresses: dict[str, str] = {}
        self.rank: int | None = None

    def routes(self) -> dict[str, Store]:
        """Return the routes through other instances, by address."""
        return self._routes

    def address_of(self, instance: str) -> str:
        """Return the relay address of another instance, empty if it is not known."""
        return self._addresses.get(instance, "")

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
        addresses = {}
        order = {_succession_key(self._instance, self._cores)}
        for name, value in records.items():
            try:
                record = json.loads(value)
                address = str(record["address"])
                cores = float(record.get("cores", 0.0))
            except (ValueError, KeyError, TypeError) as exc:
                self._log.bind(key=name, reason=str(exc)[:200]).error(
                    "An instance record can't be read."
                )
                continue
            if name != self._instance:
                order.add(_succession_key(name, cores))
            if address != self._address:
                addresses[name] = address
                found[address] = self._routes.get(address) or self._make_route(address)
        self._routes = found
        self._addresses = addresses
        self.rank = sorted(order).index(_succession_key(self._instance, self._cores))

    def _own_record(self) -> Record:
        """Return the record with the address and the processor time of this instance."""
        body = {"address": self._address, "cores": self._cores}
        return Record(self._instance, json.dumps(body).encode())


def _succession_key(name: str, cores: float) -> tuple[float, int, str]:
    """Return the key that sorts instances by the order in which they claim."""
    return -cores, zlib.crc32(name.encode()), name
