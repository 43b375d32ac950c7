"""Test that each record takes effect once, and that the reader restores its state."""

import random
import unittest

from catkinknot.model import JobId, SteppedClock
from catkinknot.platformlog import (
    Appender,
    CancelRequested,
    LogReader,
    NewEntry,
    SnapshotTaken,
    ZoneClaimed,
    encode_record,
)
from catkinknot.platformlog.exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    NotAppendedError,
)
from catkinknot_standins import Faults, LogStore


class LogHarness:
    """An emulated log with one appender and one reader, run step by step."""

    def __init__(self, **options) -> None:
        """Start with an empty log."""
        self.clock = SteppedClock(1000.0)
        self.log = LogStore(clock=self.clock, **options)
        self.reader = LogReader(self.log, clock=self.clock)
        self.appender = Appender(self.log, "w:1", clock=self.clock)
        self.applied = []
        self.reader.add_listener(self._applied)

    def _applied(self, item) -> None:
        """Confirm the record to its appender, as the application does."""
        self.applied.append(item)
        if item.entry.writer == "w:1":
            self.appender.confirm(item.entry.seq, item.verdict)

    def step(self) -> None:
        """Send the current batch and read one page."""
        self.appender.step()
        try:
            self.reader.step(wait_s=0.0)
        except LogUnavailableError:
            return


class TestLostResponses(unittest.TestCase):
    """Tests of appends with lost responses."""

    def test_fault_table(self):
        """An append must end with one record, or with the report that there is none."""
        for name, faults, result in (
            ("no fault", Faults(), "ok"),
            ("response lost after the append", Faults(lose_answers=True), "ok"),
            ("unavailable before the append", Faults(out=True), NotAppendedError),
        ):
            with self.subTest(name):
                harness = LogHarness()
                harness.log.faults = faults
                fut = harness.appender.append(ZoneClaimed("z", 1, "w:1"))
                harness.step()
                if result == "ok":
                    self.assertTrue(fut.result(0.0).ok)
                    continue
                with self.assertRaises(AppendUnknownError):
                    fut.result(0.0)
                harness.appender.withdraw_unsent(fut)
                with self.assertRaises(result):
                    fut.result(0.0)
                harness.log.faults = Faults()
                harness.step()
                self.assertEqual(harness.log.entries(), [])

    def test_duplicates_are_dropped(self):
        """A batch that was sent three times must take effect once."""
        harness = LogHarness()
        harness.log.faults = Faults(lose_answers=True)
        for number in range(5):
            harness.appender.append(CancelRequested(JobId("w", f"k{number}")))
        for _ in range(3):
            harness.appender.step()
        harness.reader.step(wait_s=0.0)
        self.assertEqual(len(harness.log.entries()), 15)
        self.assertEqual([item.entry.seq for item in harness.applied], [1, 2, 3, 4, 5])

    def test_record_that_may_be_sent_is_not_withdrawn(self):
        """After a lost response the appender must not report that nothing was recorded."""
        harness = LogHarness()
        harness.log.faults = Faults(lose_answers=True)
        fut = harness.appender.append(CancelRequested(JobId("w", "k")))
        harness.appender.step()
        harness.appender.withdraw_unsent(fut)
        with self.assertRaises(AppendUnknownError):
            fut.result(0.0)

    def test_random_faults_keep_order_and_count(self):
        """In 300 seeded runs with random faults each record is read once and in order."""
        for seed in range(300):
            rng = random.Random(seed)
            harness = LogHarness()
            for number in range(20):
                harness.log.faults = rng.choice(
                    (Faults(), Faults(out=True), Faults(lose_answers=True))
                )
                harness.appender.append(CancelRequested(JobId("w", f"k{number}")))
                if rng.random() < 0.5:
                    harness.appender.step()
                if rng.random() < 0.5:
                    harness.step()
            harness.log.faults = Faults()
            for _ in range(25):
                harness.step()
            keys = [item.record.job.key for item in harness.applied]
            self.assertEqual(keys, [f"k{n}" for n in range(20)], f"seed {seed}")


class TestReader(unittest.TestCase):
    """Tests of the reader's start, of corrupt records and of retention."""

    def test_corrupt_records_are_skipped(self):
        """Unknown or malformed records are counted and must not stop the reader."""
        harness = LogHarness()
        for seq, data in enumerate(("no json", "{}", '{"type":"new_in_version_9"}'), start=1):
            harness.log.append([NewEntry("somebody", seq, data)])
        harness.appender.append(ZoneClaimed("z", 1, "w:1"))
        harness.step()
        self.assertEqual(harness.reader.corrupt_records, 3)
        with harness.reader.state() as state:
            self.assertEqual(state.zone_term("z").term, 1)

    def test_start_from_a_snapshot_after_retention(self):
        """A new reader gets the same state although the first records were dropped."""
        harness = LogHarness(retention_records=30)
        harness.appender.append(ZoneClaimed("z", 1, "w:1"))
        harness.step()
        for number in range(60):
            if number % 10 == 0:
                harness.appender.append(SnapshotTaken(*harness.reader.packed()))
            harness.appender.append(CancelRequested(JobId("w", f"k{number}")))
            harness.step()
        new_reader = LogReader(harness.log, clock=harness.clock)
        new_reader.catch_up()
        self.assertFalse(new_reader.history_lost)
        with new_reader.state() as new, harness.reader.state() as old:
            self.assertEqual(new, old)

    def test_lost_history_is_reported(self):
        """A log that begins after offset 0 and has no snapshot is reported."""
        harness = LogHarness(retention_records=5)
        for seq in range(1, 11):
            harness.log.append(
                [NewEntry("x", seq, encode_record(CancelRequested(JobId("w", "k"))))]
            )
        harness.reader.catch_up()
        self.assertTrue(harness.reader.history_lost)

    def test_damaged_snapshot_is_skipped(self):
        """A reader starts from the newest snapshot that can be unpacked."""
        harness = LogHarness()
        harness.appender.append(ZoneClaimed("z", 1, "w:1"))
        harness.step()
        harness.appender.append(SnapshotTaken(*harness.reader.packed()))
        harness.appender.append(SnapshotTaken(2, "damaged"))
        harness.step()
        new_reader = LogReader(harness.log, clock=harness.clock)
        new_reader.catch_up()
        with new_reader.state() as state:
            self.assertEqual(state.zone_term("z").holder, "w:1")

    def test_older_seed_is_refused(self):
        """A peer's state must not replace a newer one."""
        harness = LogHarness()
        _, old = harness.reader.packed()
        harness.appender.append(ZoneClaimed("z", 1, "w:1"))
        harness.step()
        self.assertFalse(harness.reader.seed(old))
        fresh = LogReader(harness.log, clock=harness.clock)
        self.assertTrue(fresh.seed(harness.reader.packed()[1]))
