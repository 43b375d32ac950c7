"""Leader election through fenced appends to the store."""

import json
import secrets
import threading
import zlib
from collections.abc import Callable

from loguru import logger

from catkinknot.model import Clock

from ._leader import Claim, Leader, lead
from ._orders import START_VALIDITY_S
from ._recorder import PRODUCER, make_leader_record
from ._store import JOBS, RUNS, Fence, Store
from ._tail import Tail
from .exceptions import StoreError, StoreRefusedError, StoreSilentError

__all__ = ["Election"]

ELECTION_TIMEOUT_S = 1.6
"""Time without a leader record after which another instance may claim."""

STARTUP_ELECTION_TIMEOUT_S = 0.7
"""The same for an instance that has just started; longer than a leader's write interval."""

RESIGN_TIMEOUT_S = 1.5
"""Longest wait for the record of a resignation to be written."""

START_MARGIN_S = 0.1
"""Time after the end of a predecessor's leadership by which its last start has been sent."""

MAX_STORE_SILENCE_S = 0.8
"""Longest time since the last answer of the store for a candidate to claim."""

RETURN_GRACE_S = 1.2
"""Time that a leader gets to renew its record after the store has been silent."""

CLAIM_RETRY_S = 0.1
"""Pause before a call that completes a claim is repeated."""

SUCCESSION_STEP_S = 0.1
"""Time by which each rank claims after the one before, enough to read an earlier claim."""

MAX_SUCCESSION_DELAY_S = 1.0
"""Delay of the claims of all later ranks, to which a jitter is added."""

ELECTION_JITTER_S = 0.4
"""Upper bound of that jitter, which differs between instances."""

POLL_INTERVAL_S = 0.1
"""Time between two checks of the leader record."""

MAX_FIRST_NUMBER = 1 << 30
"""Exclusive upper bound of the random first sequence number of a claim."""


class Election:
    """Claims leadership in the store when no leader renews its record.

    Attributes:
        epoch: Highest epoch seen.
        leading: The leader that this instance runs, None while it follows.
        leader: Name of the instance that leads, empty if none is known to.
    """

    def __init__(
        self,
        instance: str,
        *,
        store: Store,
        tail: Tail,
        clock: Clock,
        make_leader: Callable[[Claim], Leader],
        rank: Callable[[], int | None],
    ) -> None:
        """Create a follower.

        Args:
            instance: Name of this instance.
            store: The store.
            tail: Tail of the topic that holds jobs and the leader record.
            clock: Source of time.
            make_leader: Creates the leader for a claim.
            rank: Returns the position of this instance in the order of succession,
                None if it is unknown.
        """
        self._instance = instance
        self._store = store
        self._tail = tail
        self._clock = clock
        self._make_leader = make_leader
        self._rank = rank
        self._vacant_at_s = clock.now() + STARTUP_ELECTION_TIMEOUT_S
        self._start_end_s = float("-inf")
        self._earlier_start_end_s = float("-inf")
        self._answered_s: float | None = None
        self._nonce = ""
        self._resigned = threading.Event()
        self._log = logger.bind(part="election")
        self.epoch = 0
        self.leader = ""
        self.leading: Leader | None = None

    def on_leader_record(self, value: bytes, *, fresh: bool = True) -> None:
        """Apply a leader record.

        Args:
            value: Value of the record.
            fresh: Whether the record was just written. A record read from a
                snapshot may be from a leader that has long been gone.
        """
        try:
            leader_record = json.loads(value)
            epoch, nonce = int(leader_record["epoch"]), str(leader_record["nonce"])
        except (ValueError, KeyError, TypeError) as exc:
            self._log.bind(reason=str(exc)[:200]).error("A leader record can't be read.")
            return
        if epoch > self.epoch:
            self._log.bind(epoch=epoch, leader=leader_record.get("instance")).info(
                "A new leader is known."
            )
            self._earlier_start_end_s = max(self._earlier_start_end_s, self._start_end_s)
        if epoch >= self.epoch:
            self.epoch = epoch
            self._nonce = nonce
            resigned = bool(leader_record.get("resigned"))
            self._note_start_end(resigned=resigned and fresh)
            if resigned:
                self._vacant_at_s = min(self._vacant_at_s, self._clock.now())
                self.leader = ""
            elif fresh:
                self._vacant_at_s = self._clock.now() + ELECTION_TIMEOUT_S
                self.leader = str(leader_record.get("instance", ""))

    def _note_start_end(self, *, resigned: bool) -> None:
        """Note until when the leader of a record that was just read may send starts.

        A leader that has resigned sends none. A record from a snapshot hides those of
        leaders before, which may not have noticed their end.
        """
        if resigned:
            self._start_end_s = float("-inf")
        else:
            self._start_end_s = self._clock.now() + START_VALIDITY_S + START_MARGIN_S

    def resign(self) -> None:
        """Stop leading for good, because the instance is about to shut down."""
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
                self._log.bind(reason=exc.message).warning("A claim of the leadership failed.")
                continue
            if claim is not None:
                self._lead(claim, stopped)

    def _leadership_vacant(self) -> bool:
        """Return whether no leader renews its record although the store answers."""
        now_s = self._clock.now()
        self._note_silence()
        if (
            self._tail.next_offset is None
            or now_s - self._tail.last_response_s > MAX_STORE_SILENCE_S
        ):
            return False
        return now_s > self._vacant_at_s + self._succession_delay_s()

    def _note_silence(self) -> None:
        """Give the leader time to renew its record if the store has been silent.

        It could not renew it meanwhile, nor could this instance have read it.
        """
        if self._tail.next_offset is None:
            return
        answered_s = self._tail.last_response_s
        silent_s = 0.0 if self._answered_s is None else answered_s - self._answered_s
        self._answered_s = answered_s
        if silent_s > MAX_STORE_SILENCE_S:
            self._vacant_at_s = max(self._vacant_at_s, answered_s + RETURN_GRACE_S)

    def _succession_delay_s(self) -> float:
        """Return how long this instance leaves a vacant leadership to others.

        If all claimed at once, their appends would keep a slow store, and
        with it the first of them, busy for seconds.
        """
        rank = self._rank()
        if rank is not None and rank * SUCCESSION_STEP_S < MAX_SUCCESSION_DELAY_S:
            return rank * SUCCESSION_STEP_S
        jitter = zlib.crc32(self._instance.encode()) % 16 / 16
        return MAX_SUCCESSION_DELAY_S + ELECTION_JITTER_S * jitter

    def _claim(self) -> Claim | None:
        """Claim the next epoch; return None if another instance was faster."""
        self._tail.catch_up()
        if not self._leadership_vacant():
            return None
        epoch = self.epoch + 1
        nonce = secrets.token_hex(8)
        number = secrets.randbelow(MAX_FIRST_NUMBER)
        sent_s = self._clock.now()
        inherited_until_s = max(self._earlier_start_end_s, self._start_end_s)
        leader_record = make_leader_record(epoch, self._instance, nonce)
        try:
            self._store.append(
                JOBS,
                [leader_record],
                fence=Fence(PRODUCER, epoch, number),
                only_at=self._tail.next_offset,
            )
        except StoreError as exc:
            self._log.bind(epoch=epoch, reason=exc.message).info(
                "A claim of the leadership was not confirmed."
            )
        # The ledger decides, whatever the answer to the append was.
        self._tail.catch_up()
        if self._nonce != nonce:
            return None
        runs_number = secrets.randbelow(MAX_FIRST_NUMBER)
        fence = Fence(PRODUCER, epoch, runs_number)
        end_s = self._clock.now() + ELECTION_TIMEOUT_S
        self._repeat(lambda: self._store.append(RUNS, [leader_record], fence=fence), end_s)
        # Until then the earlier leader may have started jobs that are not read yet.
        self._repeat(self._tail.catch_up, end_s)
        self._log.bind(epoch=epoch).info("This instance has claimed the leadership.")
        numbers = {JOBS: number + 1, RUNS: runs_number + 1}
        return Claim(epoch, nonce, sent_s, numbers, inherited_until_s)

    def _repeat(self, call: Callable[[], object], end_s: float) -> None:
        """Make a call to the store until it succeeds; raises a `StoreError` at the end.

        The epoch has been claimed, so nobody else leads until the calls are done or
        the claim has timed out.
        """
        while True:
            try:
                call()
                return
            except (StoreRefusedError, StoreSilentError):
                if self._clock.now() + CLAIM_RETRY_S >= end_s:
                    raise
            self._clock.sleep(CLAIM_RETRY_S)

    def _lead(self, claim: Claim, stopped: threading.Event) -> None:
        """Lead until deposed or stopped."""
        leader = self._make_leader(claim)
        try:
            with lead(leader):
                self.leading = leader
                # Changes read during the take-over were not passed to the leader.
                leader.apply_all()
                while not stopped.wait(POLL_INTERVAL_S) and not leader.deposed:
                    if self._resigned.is_set():
                        leader.resign()
                        leader.recorder.resigned.wait(RESIGN_TIMEOUT_S)
                        break
        except StoreError as exc:
            self._log.bind(reason=exc.message).warning("Taking over the leadership failed.")
        finally:
            self.leading = None
            self._vacant_at_s = self._clock.now() + ELECTION_TIMEOUT_S
