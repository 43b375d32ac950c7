"""Check what the order of records on the log decides."""

import unittest

from catkinknot.model import JobId, JobRequest, Outcome, ResultCode, check_config
from catkinknot.platformlog import (
    AttemptCleared,
    CancelRequested,
    ConfigPublished,
    Entry,
    JobAccepted,
    JobEnded,
    LogState,
    StartIntended,
    ZoneClaimed,
    pack_state,
    unpack_state,
)

REQUEST = JobRequest("w", "plate", "k")
JOB = REQUEST.job_id
ACCEPT = JobAccepted(REQUEST, "z", idempotent=False)
ACCEPT_SCAN = JobAccepted(REQUEST, "z", idempotent=True)
OTHER_BODY = JobAccepted(JobRequest("w", "plate", "k", body={"x": 1}), "z", idempotent=False)
CLAIM_1, CLAIM_2 = ZoneClaimed("z", 1, "one"), ZoneClaimed("z", 2, "two")
RIVAL_1 = ZoneClaimed("z", 1, "two")
CANCEL = CancelRequested(JOB)


def start(attempt: int = 1, term: int = 1, holder: str = "one") -> StartIntended:
    """Intend a start."""
    return StartIntended(JOB, attempt, "z", term, holder, ("s",), ("b",))


def clear(attempt: int = 1, term: int = 1, began: bool = False) -> AttemptCleared:
    """Clear an attempt."""
    return AttemptCleared(JOB, attempt, term, "test", began)


def end(code: ResultCode = ResultCode.DONE, attempt: int = 1) -> JobEnded:
    """End the job."""
    return JobEnded(Outcome("w", "k", code, attempt=attempt))


def fold(records) -> tuple[LogState, list[bool]]:
    """Fold records and return the state and which took effect."""
    state, oks = LogState(), []
    for offset, record in enumerate(records):
        oks.append(state.apply(record, Entry(offset, float(offset), "x", offset, "")).ok)
    return state, oks


class TestOrder(unittest.TestCase):
    """Check races between records."""

    def test_last_record(self):
        """The last record of each row takes effect, or does not."""
        for name, records, ok in (
            ("first claim of a term", (CLAIM_1,), True),
            ("second claim of a term", (CLAIM_1, RIVAL_1), False),
            ("claim that skips a term", (CLAIM_2,), False),
            ("next term", (CLAIM_1, CLAIM_2), True),
            ("same job again", (ACCEPT, ACCEPT), True),
            ("same key, other work", (ACCEPT, OTHER_BODY), False),
            ("start by the holder", (CLAIM_1, ACCEPT, start()), True),
            ("start without the zone", (ACCEPT, start()), False),
            ("start by a deposed holder", (CLAIM_1, ACCEPT, CLAIM_2, start()), False),
            ("start after cancel", (CLAIM_1, ACCEPT, CANCEL, start()), False),
            ("second start in doubt", (CLAIM_1, ACCEPT, start(), start(2)), False),
            ("second start after proof", (CLAIM_1, ACCEPT, start(), clear(), start(2)), True),
            ("same attempt again", (CLAIM_1, ACCEPT, start(), clear(), start()), False),
            ("proof by a deposed holder", (CLAIM_1, ACCEPT, start(), CLAIM_2, clear()), False),
            ("proof by the next holder",
             (CLAIM_1, ACCEPT, start(), CLAIM_2, clear(term=2)), True),
            ("start after the end", (CLAIM_1, ACCEPT, start(), end(), start(2)), False),
            ("two ends", (CLAIM_1, ACCEPT, start(), end(), end()), False),
            ("end of another attempt", (CLAIM_1, ACCEPT, start(), end(attempt=2)), False),
            ("end of an unknown job", (end(),), False),
            ("cancel of an unknown job", (CANCEL,), False),
            ("proof of no start", (CLAIM_1, ACCEPT, clear()), False),
        ):  # fmt: skip
            with self.subTest(name):
                self.assertIs(fold(records)[1][-1], ok)

    def test_cancellation(self):
        """What a cancelled job ends as depends on what came before."""
        for name, records, code in (
            ("before any start", (ACCEPT, CANCEL), ResultCode.CANCELLED),
            ("after a start", (CLAIM_1, ACCEPT, start(), CANCEL), None),
            ("start proved not made", (CLAIM_1, ACCEPT, start(), CANCEL, clear()),
             ResultCode.CANCELLED),
            ("stopped at a checkpoint", (CLAIM_1, ACCEPT, start(), CANCEL, clear(began=True)),
             ResultCode.STOPPED),
            ("cancelled between attempts",
             (CLAIM_1, ACCEPT, start(), clear(began=True), CANCEL), ResultCode.STOPPED),
            ("idempotent work", (ACCEPT_SCAN, CANCEL), None),
        ):  # fmt: skip
            with self.subTest(name):
                outcome = fold(records)[0].job(JOB).outcome
                self.assertIs(outcome.code if outcome else None, code)


class TestConfiguration(unittest.TestCase):
    """Check compare-and-set of configurations."""

    def test_one_winner(self):
        """Of two operators who saw the same version one wins."""
        cfg = check_config(
            '{"deployment":"d","zones":[{"name":"z","servers":1}],'
            '"kinds":[{"name":"k","urgency":1,"deadline_s":1}],"workspaces":[{"name":"w"}]}'
        )
        records = [ConfigPublished(0, cfg), ConfigPublished(0, cfg), ConfigPublished(1, cfg)]
        state, oks = fold(records)
        self.assertEqual(oks, [True, False, True])
        self.assertEqual(state.config.version, 3)


class TestSnapshots(unittest.TestCase):
    """Check that a packed state is the same state."""

    def test_round_trip(self):
        """Unpacking gives what was packed, and folding goes on from there."""
        records = (CLAIM_1, ACCEPT, start(), CANCEL)
        state, _ = fold(records)
        again = unpack_state(pack_state(state))
        self.assertEqual(again, state)
        entry = Entry(9, 9.0, "x", 9, "")
        self.assertEqual(again.apply(clear(), entry), state.apply(clear(), entry))

    def test_ended_jobs_are_forgotten_after_a_day(self):
        """Retention keeps open jobs and drops old answers."""
        state, _ = fold((CLAIM_1, ACCEPT, start(), end()))
        state.jobs["open"] = state.jobs[str(JOB)].__class__(
            JobRequest("w", "plate", "open"), "z", False, 0, 0.0
        )
        state.expire(100_000.0)
        self.assertEqual(list(state.jobs), ["open"])
        self.assertIsNone(state.job(JobId("w", "k")))
