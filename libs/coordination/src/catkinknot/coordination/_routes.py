"""Reach the store directly, or through another instance while that fails."""

import threading
from collections.abc import Callable
from typing import TypeVar

from loguru import logger

from catkinknot.model import Clock

from ._store import Batch, Fence, Record, Snapshot, Store
from .exceptions import StoreError, StoreRefusedError, StoreSilentError

__all__ = ["StoreRouter"]

DIRECT_BACKOFF_S = 1.0
"""How long the direct way is left alone after it failed."""

PEER_BACKOFF_S = 3.0
"""The same for the way through another instance."""

PEER_ATTEMPT_COUNT = 2
"""Other instances that are tried for one call."""

T = TypeVar("T")


class StoreRouter:
    """Choose a way to the store for each call.

    A call that a way refused goes on to the next one. A call without an
    answer may be done, so it is left to its maker to repeat; the repeat takes
    another way.
    """

    def __init__(
        self,
        direct: Store,
        *,
        peers: Callable[[], dict[str, Store]],
        clock: Clock,
        observe: Callable[[str, str, float], None] = lambda kind, outcome, seconds: None,
    ) -> None:
        """Keep the ways.

        Args:
            direct: The store itself.
            peers: Returns the ways through other instances, by address.
            clock: Where time comes from.
            observe: Takes kind, outcome and seconds of each call.
        """
        self._observe = observe
        self._direct = direct
        self._peers = peers
        self._clock = clock
        self._lock = threading.Lock()
        self._backoff_until_s: dict[str, float] = {}
        self._via_peer = False
        self._log = logger.bind(part="ways")

    def append(
        self,
        topic: str,
        records: list[Record],
        *,
        fence: Fence | None = None,
        only_at: int | None = None,
        timeout_s: float | None = None,
    ) -> int:
        """Append all records or none, and return the offset of the first."""
        return self._call(
            "append",
            lambda route: route.append(
                topic, records, fence=fence, only_at=only_at, timeout_s=timeout_s
            ),
        )

    def read(self, topic: str, start: int) -> Batch:
        """Return records from an offset on."""
        return self._call("read", lambda route: route.read(topic, start))

    def newest(self, topic: str) -> Snapshot:
        """Return the newest record of every key."""
        return self._call("newest", lambda route: route.newest(topic))

    def _call(self, kind: str, action: Callable[[Store], T]) -> T:
        """Make a call, and say how it went and how long it took."""
        began_s = self._clock.now()
        outcome = "done"
        try:
            return self._try_routes(action)
        except StoreError as exc:
            outcome = type(exc).__name__
            raise
        finally:
            self._observe(kind, outcome, self._clock.now() - began_s)

    def _try_routes(self, action: Callable[[Store], T]) -> T:
        """Make a call by the first way that takes it."""
        refused: StoreRefusedError | None = None
        for name, route in self._choose_routes():
            try:
                answer = action(route)
            except StoreRefusedError as exc:
                self._back_off(name)
                refused = exc
                continue
            except StoreSilentError:
                self._back_off(name)
                raise
            self._log_change(name)
            return answer
        raise refused or StoreRefusedError("no way to the store is open")

    def _choose_routes(self) -> list[tuple[str, Store]]:
        """Return the ways to try, the best first; the direct way always is one."""
        now_s = self._clock.now()
        with self._lock:
            paused = {name for name, until_s in self._backoff_until_s.items() if until_s > now_s}
        peers = [(name, route) for name, route in self._peers().items() if name not in paused]
        peers = peers[:PEER_ATTEMPT_COUNT]
        direct = ("", self._direct)
        return [*peers, direct] if "" in paused else [direct, *peers]

    def _back_off(self, name: str) -> None:
        """Leave a way alone for a while."""
        pause_s = PEER_BACKOFF_S if name else DIRECT_BACKOFF_S
        with self._lock:
            self._backoff_until_s[name] = self._clock.now() + pause_s

    def _log_change(self, name: str) -> None:
        """Log when calls begin or cease to take a detour."""
        via_peer = bool(name)
        with self._lock:
            changed, self._via_peer = via_peer != self._via_peer, via_peer
        if changed and via_peer:
            self._log.bind(peer=name).warning("The store is reached through another instance.")
        elif changed:
            self._log.info("The store is reached directly again.")
