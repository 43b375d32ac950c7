"""Test the state that results from the order of records on the log."""

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
ACCEPT_IDEMPOTENT = JobAccepted(REQUEST, "z", idempotent=True)
OTHER_BODY = JobAccepted(JobRequest("w", "plate", "k", body={"x": 1}), "z", idempotent=False)
CLAIM_1, CLAIM_2 = ZoneClaimed("z", 1, "one"), ZoneClaimed("z", 2, "two")
RIVAL_1 = ZoneClaimed("z", 1, "two")
CANCEL = CancelRequested(JOB)


def start(attempt: int = 1, term: int = 1, holder: str = "one") -> StartIntended:
    """Return a record of an intended start."""
    return StartIntended(JOB, attempt, "z", term, holder, ("s",), ("b",))


def clear(attempt: int = 1, term: int = 1, began: bool = False) -> AttemptCleared:
    """Return a record that clears an attempt."""
    return AttemptCleared(JOB, attempt, term, "test", began)


def end(code: ResultCode = ResultCode.DONE, attempt: int = 1) -> JobEnded:
    """Return a record with the job's outcome."""
    return JobEnded(Outcome("w", "k", code, attempt=attempt))


def apply_records(records) -> tuple[LogState, list[bool]]:
    """Apply records to an empty state and return it and which of them took effect."""
    state, oks = LogState(), []
    for offset, record in enumerate(records):
        oks.append(state.apply(record, Entry(offset, float(offset), "x", offset, "")).ok)
    return state, oks


class TestOrder(unittest.TestCase):
    """Tests of competing records."""

    def test_last_record(self):
        """The last record of each row takes effect or is refused, depending on those before."""
        for name, records, ok in (
            ("first claim of a term", (CLAIM_1,), True),
            ("second claim of a term", (CLAIM_1, RIVAL_1), False),
            ("claim that skips a term", (CLAIM_2,), False),
            ("next term", (CLAIM_1, CLAIM_2), True),
            ("same job again", (ACCEPT, ACCEPT), True),
            ("same key, different request", (ACCEPT, OTHER_BODY), False),
            ("start by the holder", (CLAIM_1, ACCEPT, start()), True),
            ("start without the zone", (ACCEPT, start()), False),
            ("start by a deposed holder", (CLAIM_1, ACCEPT, CLAIM_2, start()), False),
            ("start after cancel", (CLAIM_1, ACCEPT, CANCEL, start()), False),
            ("second start, first unresolved", (CLAIM_1, ACCEPT, start(), start(2)), False),
            ("second start, first cleared", (CLAIM_1, ACCEPT, start(), clear(), start(2)), True),
            ("same attempt again", (CLAIM_1, ACCEPT, start(), clear(), start()), False),
            ("clearing by a deposed holder", (CLAIM_1, ACCEPT, start(), CLAIM_2, clear()), False),
            ("clearing by the next holder",
             (CLAIM_1, ACCEPT, start(), CLAIM_2, clear(term=2)), True),
            ("start after the end", (CLAIM_1, ACCEPT, start(), end(), start(2)), False),
            ("two ends", (CLAIM_1, ACCEPT, start(), end(), end()), False),
            ("end of another attempt", (CLAIM_1, ACCEPT, start(), end(attempt=2)), False),
            ("end of an unknown job", (end(),), False),
            ("cancel of an unknown job", (CANCEL,), False),
            ("clearing without a start", (CLAIM_1, ACCEPT, clear()), False),
        ):  # fmt: skip
            with self.subTest(name):
                self.assertIs(apply_records(records)[1][-1], ok)

    def test_cancellation(self):
        """The outcome of a cancelled job depends on the records before the cancellation."""
        for name, records, code in (
            ("before any start", (ACCEPT, CANCEL), ResultCode.CANCELLED),
            ("after a start", (CLAIM_1, ACCEPT, start(), CANCEL), None),
            ("start cleared without work done", (CLAIM_1, ACCEPT, start(), CANCEL, clear()),
             ResultCode.CANCELLED),
            ("stopped at a checkpoint", (CLAIM_1, ACCEPT, start(), CANCEL, clear(began=True)),
             ResultCode.STOPPED),
            ("cancelled between attempts",
             (CLAIM_1, ACCEPT, start(), clear(began=True), CANCEL), ResultCode.STOPPED),
            ("idempotent job", (ACCEPT_IDEMPOTENT, CANCEL), None),
        ):  # fmt: skip
            with self.subTest(name):
                outcome = apply_records(records)[0].job(JOB).outcome
                self.assertIs(outcome.code if outcome else None, code)


class TestConfiguration(unittest.TestCase):
    """Tests of compare-and-set of configurations."""

    def test_concurrent_updates_of_one_version(self):
        """Of two configurations based on the same version only the first takes effect."""
        cfg = check_config(
            '{"deployment":"d","zones":[{"name":"z","servers":1}],'
            '"kinds":[{"name":"k","urgency":1,"deadline_s":1}],"workspaces":[{"name":"w"}]}'
        )
        records = [ConfigPublished(0, cfg), ConfigPublished(0, cfg), ConfigPublished(1, cfg)]
        state, oks = apply_records(records)
        self.assertEqual(oks, [True, False, True])
        self.assertEqual(state.config.version, 3)


class TestSnapshots(unittest.TestCase):
    """Tests of packed states and of retention."""

    def test_round_trip(self):
        """An unpacked state equals the packed one and accepts further records."""
        records = (CLAIM_1, ACCEPT, start(), CANCEL)
        state, _ = apply_records(records)
        unpacked = unpack_state(pack_state(state))
        self.assertEqual(unpacked, state)
        entry = Entry(9, 9.0, "x", 9, "")
        self.assertEqual(unpacked.apply(clear(), entry), state.apply(clear(), entry))

    def test_ended_jobs_are_dropped_after_retention(self):
        """Retention must keep unfinished jobs and drop those that ended over a day ago."""
        state, _ = apply_records((CLAIM_1, ACCEPT, start(), end()))
        state.jobs["open"] = state.jobs[str(JOB)].__class__(
            JobRequest("w", "plate", "open"), "z", False, 0, 0.0
        )
        state.expire(100_000.0)
        self.assertEqual(list(state.jobs), ["open"])
        self.assertIsNone(state.job(JobId("w", "k")))
