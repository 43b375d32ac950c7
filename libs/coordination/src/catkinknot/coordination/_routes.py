"""Routing of store calls: directly, or through another instance while that fails."""

import threading
from collections.abc import Callable
from typing import TypeVar

from loguru import logger

from catkinknot.model import Clock

from ._store import Batch, Fence, Record, Snapshot, Store
from .exceptions import StoreError, StoreRefusedError, StoreSilentError

__all__ = ["StoreRouter"]

DIRECT_BACKOFF_S = 1.0
"""Time for which the direct route is not preferred after it failed."""

PEER_BACKOFF_S = 3.0
"""Time for which a route through another instance is not used after it failed."""

PEER_ATTEMPT_COUNT = 2
"""Number of other instances tried for one call."""

SLOW_CALL_S = 0.06
"""Duration of a direct call from which the store counts as slow."""

FAST_CALL_S = 0.03
"""Duration of a direct call below which it no longer does."""

T = TypeVar("T")


class StoreRouter:
    """Store that chooses a route for each call.

    A call that is refused on one route is retried on the next. A call
    without an answer may have been executed, so it is left to the caller to
    repeat; the repetition takes another route.

    While the store is slow, unconditional appends go through one instance for
    all, which combines them: the store processes the appends to a topic one
    at a time, and those of hundreds of instances would wait there for seconds.
    """

    def __init__(
        self,
        direct: Store,
        *,
        peers: Callable[[], dict[str, Store]],
        combiner: Callable[[], str] = lambda: "",
        clock: Clock,
        observe: Callable[[str, str, float], None] = lambda kind, outcome, seconds: None,
    ) -> None:
        """Create a router.

        Args:
            direct: Direct route to the store.
            peers: Returns the routes through other instances, by address.
            combiner: Returns the address of the instance that combines appends,
                empty for none.
            clock: Source of time.
            observe: Called with the kind, outcome and duration in seconds of
                each call.
        """
        self._observe = observe
        self._direct = direct
        self._peers = peers
        self._combiner = combiner
        self._clock = clock
        self._lock = threading.Lock()
        self._backoff_until_s: dict[str, float] = {}
        self._via_peer = False
        self._slow = False
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
            combine=self._slow and fence is None and only_at is None,
        )

    def read(self, topic: str, start: int) -> Batch:
        """Return the records at and after an offset."""
        return self._call("read", lambda route: route.read(topic, start))

    def newest(self, topic: str) -> Snapshot:
        """Return the newest record of every key."""
        return self._call("newest", lambda route: route.newest(topic))

    def _call(self, kind: str, action: Callable[[Store], T], *, combine: bool = False) -> T:
        """Make a call, and report its outcome and duration."""
        began_s = self._clock.now()
        outcome = "done"
        try:
            return self._try_routes(action, combine)
        except StoreError as exc:
            outcome = type(exc).__name__
            raise
        finally:
            self._observe(kind, outcome, self._clock.now() - began_s)

    def _try_routes(self, action: Callable[[Store], T], combine: bool) -> T:
        """Make a call on the first route that doesn't refuse it."""
        refused: StoreRefusedError | None = None
        for name, route in self._choose_routes(combine):
            began_s = self._clock.now()
            try:
                answer = action(route)
            except StoreRefusedError as exc:
                self._back_off(name)
                refused = exc
                continue
            except StoreSilentError:
                self._back_off(name)
                raise
            if not combine:
                self._log_change(name)
            if not name:
                self._note_duration(self._clock.now() - began_s)
            return answer
        raise refused or StoreRefusedError("no route to the store is available")

    def _choose_routes(self, combine: bool) -> list[tuple[str, Store]]:
        """Return the routes to try, preferred first; the direct route is always one."""
        now_s = self._clock.now()
        with self._lock:
            backed_off = {
                name for name, until_s in self._backoff_until_s.items() if until_s > now_s
            }
        peers = [(name, route) for name, route in self._peers().items() if name not in backed_off]
        direct = ("", self._direct)
        combiner = self._combiner() if combine else ""
        if combiner:
            return [*((name, route) for name, route in peers if name == combiner), direct]
        peers = peers[:PEER_ATTEMPT_COUNT]
        return [*peers, direct] if "" in backed_off else [direct, *peers]

    def _back_off(self, name: str) -> None:
        """Start the backoff of a route."""
        backoff_s = PEER_BACKOFF_S if name else DIRECT_BACKOFF_S
        with self._lock:
            self._backoff_until_s[name] = self._clock.now() + backoff_s

    def _note_duration(self, duration_s: float) -> None:
        """Log when the store becomes slow, or fast again."""
        with self._lock:
            slow = duration_s >= (FAST_CALL_S if self._slow else SLOW_CALL_S)
            changed, self._slow = slow != self._slow, slow
        if changed:
            self._log.bind(
                duration_ms=int(duration_s * 1000), slow=slow, combiner=self._combiner()
            ).info("The store has become slow, or fast again.")

    def _log_change(self, name: str) -> None:
        """Log when calls switch between the direct route and one through a peer."""
        via_peer = bool(name)
        with self._lock:
            changed, self._via_peer = via_peer != self._via_peer, via_peer
        if changed and via_peer:
            self._log.bind(peer=name).warning("The store is reached through another instance.")
        elif changed:
            self._log.info("The store is reached directly again.")
