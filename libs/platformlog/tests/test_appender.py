"""Check that every record lands once, whatever becomes of the answers."""

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


class Rig:
    """Hold a log, a writer and a reader that are stepped by hand."""

    def __init__(self, **options) -> None:
        """Start with an empty log."""
        self.clock = SteppedClock(1000.0)
        self.log = LogStore(clock=self.clock, **options)
        self.reader = LogReader(self.log, clock=self.clock)
        self.appender = Appender(self.log, "w:1", clock=self.clock)
        self.applied = []
        self.reader.add_listener(self._applied)

    def _applied(self, item) -> None:
        """Pass the reader's word on, as the composition root does."""
        self.applied.append(item)
        if item.entry.writer == "w:1":
            self.appender.confirm(item.entry.seq, item.verdict)

    def move(self) -> None:
        """Send once and read once."""
        self.appender.step()
        try:
            self.reader.step(wait_s=0.0)
        except LogUnavailableError:
            return


class TestLostAnswers(unittest.TestCase):
    """Check appends whose fate is not told."""

    def test_fault_table(self):
        """Each fault ends in one record, or in the true word that there is none."""
        for name, faults, result in (
            ("all well", Faults(), "ok"),
            ("answer lost after the effect", Faults(lose_answers=True), "ok"),
            ("out before the effect", Faults(out=True), NotAppendedError),
        ):
            with self.subTest(name):
                rig = Rig()
                rig.log.faults = faults
                fut = rig.appender.append(ZoneClaimed("z", 1, "w:1"))
                rig.move()
                if result == "ok":
                    self.assertTrue(fut.result(0.0).ok)
                    continue
                with self.assertRaises(AppendUnknownError):
                    fut.result(0.0)
                rig.appender.withdraw_unsent(fut)
                with self.assertRaises(result):
                    fut.result(0.0)
                rig.log.faults = Faults()
                rig.move()
                self.assertEqual(rig.log.entries(), [])

    def test_repeats_are_dropped(self):
        """A batch that is sent three times takes effect once."""
        rig = Rig()
        rig.log.faults = Faults(lose_answers=True)
        for number in range(5):
            rig.appender.append(CancelRequested(JobId("w", f"k{number}")))
        for _ in range(3):
            rig.appender.step()
        rig.reader.step(wait_s=0.0)
        self.assertEqual(len(rig.log.entries()), 15)
        self.assertEqual([item.entry.seq for item in rig.applied], [1, 2, 3, 4, 5])

    def test_a_record_that_may_be_sent_is_not_taken_back(self):
        """After a lost answer the writer does not claim that nothing happened."""
        rig = Rig()
        rig.log.faults = Faults(lose_answers=True)
        fut = rig.appender.append(CancelRequested(JobId("w", "k")))
        rig.appender.step()
        rig.appender.withdraw_unsent(fut)
        with self.assertRaises(AppendUnknownError):
            fut.result(0.0)

    def test_random_faults_keep_order_and_number(self):
        """Over 300 seeded runs each record is seen once and in order."""
        for seed in range(300):
            rng = random.Random(seed)
            rig = Rig()
            for number in range(20):
                rig.log.faults = rng.choice((Faults(), Faults(out=True), Faults(lose_answers=True)))
                rig.appender.append(CancelRequested(JobId("w", f"k{number}")))
                if rng.random() < 0.5:
                    rig.appender.step()
                if rng.random() < 0.5:
                    rig.move()
            rig.log.faults = Faults()
            for _ in range(25):
                rig.move()
            keys = [item.record.job.key for item in rig.applied]
            self.assertEqual(keys, [f"k{n}" for n in range(20)], f"seed {seed}")


class TestReader(unittest.TestCase):
    """Check starting, corrupt records and retention."""

    def test_corrupt_records_are_passed_over(self):
        """Records that are none of ours are reported and do not stop the reader."""
        rig = Rig()
        for seq, data in enumerate(("no json", "{}", '{"type":"new_in_version_9"}'), start=1):
            rig.log.append([NewEntry("somebody", seq, data)])
        rig.appender.append(ZoneClaimed("z", 1, "w:1"))
        rig.move()
        self.assertEqual(rig.reader.corrupt_records, 3)
        with rig.reader.state() as state:
            self.assertEqual(state.zone_term("z").term, 1)

    def test_start_from_a_snapshot_after_retention(self):
        """A new reader has the same state although the first records are gone."""
        rig = Rig(retention_records=30)
        rig.appender.append(ZoneClaimed("z", 1, "w:1"))
        rig.move()
        for number in range(60):
            if number % 10 == 0:
                rig.appender.append(SnapshotTaken(*rig.reader.packed()))
            rig.appender.append(CancelRequested(JobId("w", f"k{number}")))
            rig.move()
        late = LogReader(rig.log, clock=rig.clock)
        late.catch_up()
        self.assertFalse(late.history_lost)
        with late.state() as new, rig.reader.state() as old:
            self.assertEqual(new, old)

    def test_lost_history_is_said(self):
        """A log that begins late and has no snapshot is reported."""
        rig = Rig(retention_records=5)
        for seq in range(1, 11):
            rig.log.append([NewEntry("x", seq, encode_record(CancelRequested(JobId("w", "k"))))])
        rig.reader.catch_up()
        self.assertTrue(rig.reader.history_lost)

    def test_a_damaged_snapshot_is_not_used(self):
        """The newest snapshot that can be read is taken."""
        rig = Rig()
        rig.appender.append(ZoneClaimed("z", 1, "w:1"))
        rig.move()
        rig.appender.append(SnapshotTaken(*rig.reader.packed()))
        rig.appender.append(SnapshotTaken(2, "damaged"))
        rig.move()
        late = LogReader(rig.log, clock=rig.clock)
        late.catch_up()
        with late.state() as state:
            self.assertEqual(state.zone_term("z").holder, "w:1")

    def test_an_older_seed_is_refused(self):
        """A peer's state never takes the place of a newer one."""
        rig = Rig()
        _, old = rig.reader.packed()
        rig.appender.append(ZoneClaimed("z", 1, "w:1"))
        rig.move()
        self.assertFalse(rig.reader.seed(old))
        fresh = LogReader(rig.log, clock=rig.clock)
        self.assertTrue(fresh.seed(rig.reader.packed()[1]))
