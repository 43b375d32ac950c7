"""Follow who leads, and take over when nobody does."""

import json
import secrets
import threading
import zlib
from collections.abc import Callable

from loguru import logger

from catkinknot.model import Clock

from ._leader import Claim, Leader, lead
from ._recorder import LEAD_KEY, PRODUCER, leader_record
from ._store import JOBS, RUNS, Fence, Record, Store
from ._tail import Tail
from .exceptions import StoreError

__all__ = ["Election"]

ELECTION_TIMEOUT_S = 1.6
"""Time without a mark of the leader after which another may claim."""

STARTUP_ELECTION_TIMEOUT_S = 0.7
"""The same for an instance that has just started; a leader marks more often than this."""

RESIGN_FLUSH_S = 0.2
"""Time for the last mark of a leader that resigns to be written."""

MAX_STORE_SILENCE_S = 0.8
"""A candidate must have heard from the store this lately."""

ELECTION_JITTER_S = 0.4
"""Instances wait up to this much longer, each its own part of it."""

POLL_INTERVAL_S = 0.1
"""Time between two looks at the leader's mark."""

MAX_FIRST_NUMBER = 1 << 30
"""Sequence numbers of a claim begin below this, at random."""


class Election:
    """Claim leadership in the store when the leader's marks stop.

    Attributes:
        epoch: Highest epoch that was seen.
        leading: The leader that this instance runs, if it leads.
    """

    def __init__(
        self,
        instance: str,
        *,
        store: Store,
        tail: Tail,
        clock: Clock,
        make_leader: Callable[[Claim], Leader],
    ) -> None:
        """Begin as a follower.

        Args:
            instance: This instance.
            store: The store.
            tail: Follows the topic of jobs and marks.
            clock: Where time comes from.
            make_leader: Wires a leader for a claim.
        """
        self._instance = instance
        self._store = store
        self._tail = tail
        self._clock = clock
        self._make_leader = make_leader
        self._election_timeout_s = (
            ELECTION_TIMEOUT_S + ELECTION_JITTER_S * (zlib.crc32(instance.encode()) % 16) / 16
        )
        self._leader_record_s = clock.now() - ELECTION_TIMEOUT_S + STARTUP_ELECTION_TIMEOUT_S
        self._nonce = ""
        self._resigned = threading.Event()
        self._log = logger.bind(part="election")
        self.epoch = 0
        self.leading: Leader | None = None

    def on_leader_record(self, value: bytes, *, fresh: bool = True) -> None:
        """Take the mark of a leader.

        Args:
            value: The mark.
            fresh: Whether it was written just now. One that lay in the store
                may be of a leader that is long gone.
        """
        try:
            record = json.loads(value)
            epoch, nonce = int(record["epoch"]), str(record["nonce"])
        except (ValueError, KeyError, TypeError) as exc:
            self._log.bind(reason=str(exc)[:200]).error("A leader's mark can't be read.")
            return
        if epoch > self.epoch:
            self._log.bind(epoch=epoch, leader=record.get("instance")).info("A leader is known.")
        if epoch >= self.epoch:
            self.epoch = epoch
            self._nonce = nonce
            if record.get("resigned"):
                self._leader_record_s = float("-inf")
            elif fresh:
                self._leader_record_s = self._clock.now()

    def resign(self) -> None:
        """Cease to lead, and never lead again; the instance is about to stop."""
        self._resigned.set()
        leader = self.leading
        if leader is not None:
            leader.resign()

    def run(self, stopped: threading.Event) -> None:
        """Follow, claim and lead until stopped."""
        while not stopped.wait(POLL_INTERVAL_S):
            if self._resigned.is_set() or not self._leadership_vacant():
                continue
            try:
                claim = self._claim()
            except StoreError as exc:
                self._log.bind(reason=exc.message).warning("A claim did not succeed.")
                continue
            if claim is not None:
                self._lead(claim, stopped)

    def _leadership_vacant(self) -> bool:
        """Tell whether nobody seems to lead while the store answers."""
        now_s = self._clock.now()
        if (
            self._tail.next_offset is None
            or now_s - self._tail.last_response_s > MAX_STORE_SILENCE_S
        ):
            return False
        return now_s - self._leader_record_s > self._election_timeout_s

    def _claim(self) -> Claim | None:
        """Claim the next epoch; return None if another was faster."""
        self._tail.catch_up()
        if not self._leadership_vacant():
            return None
        epoch = self.epoch + 1
        nonce = secrets.token_hex(8)
        number = secrets.randbelow(MAX_FIRST_NUMBER)
        sent_s = self._clock.now()
        record = leader_record(epoch, self._instance, nonce)
        try:
            self._store.append(
                JOBS,
                [record],
                fence=Fence(PRODUCER, epoch, number),
                only_at=self._tail.next_offset,
            )
        except StoreError as exc:
            self._log.bind(epoch=epoch, reason=exc.message).info("A claim was not confirmed.")
        # What the ledger says counts, whatever the answer was.
        self._tail.catch_up()
        if self._nonce != nonce:
            return None
        runs_number = secrets.randbelow(MAX_FIRST_NUMBER)
        self._store.append(
            RUNS, [Record(LEAD_KEY, record.value)], fence=Fence(PRODUCER, epoch, runs_number)
        )
        self._log.bind(epoch=epoch).info("The claim of this instance counts.")
        return Claim(epoch, nonce, sent_s, {JOBS: number + 1, RUNS: runs_number + 1})

    def _lead(self, claim: Claim, stopped: threading.Event) -> None:
        """Lead until deposed or stopped."""
        leader = self._make_leader(claim)
        try:
            with lead(leader):
                self.leading = leader
                # Changes that came during the take-over went to nobody.
                leader.apply_all()
                while not stopped.wait(POLL_INTERVAL_S) and not leader.deposed:
                    if self._resigned.is_set():
                        # The mark needs a moment to be written.
                        stopped.wait(RESIGN_FLUSH_S)
                        break
        except StoreError as exc:
            self._log.bind(reason=exc.message).warning("Taking over did not succeed.")
        finally:
            self.leading = None
            self._leader_record_s = self._clock.now()
