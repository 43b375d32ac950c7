"""Tests of the records of jobs and steps."""

import unittest

from catkinknot.jobs import (
    Job,
    Policy,
    Resources,
    RunOutcome,
    Step,
    StepKey,
    StepState,
    TaskPhase,
    TaskState,
    read_step,
    write_step,
)
from catkinknot.model import ResultCode
from catkinknot.model.exceptions import BadInputError

STEP = Step(3, Resources(1000, 1000, 1), estimate_ms=1000)
JOB = Job("a" * 16, "w", Policy("q", "render"), "work", (STEP,), 0)


class TestStepRecord(unittest.TestCase):
    """Records of the tasks of a step."""

    def test_state_survives(self) -> None:
        """Waiting, assigned and done tasks are read as they were written."""
        state = StepState(StepKey(JOB.id, 0, 0), STEP, JOB)
        state.assign({0: "s1", 1: "s1"})
        state.end(0, RunOutcome.LOST, "checkpoint")
        state.assign({0: "s2"})
        state.end(0, RunOutcome.DONE, "")
        tasks = read_step(write_step(state), 3)
        self.assertEqual(tasks[0], TaskState(TaskPhase.DONE, run=2))
        self.assertEqual(tasks[1:], state.tasks[1:])

    def test_corrupt_records(self) -> None:
        """A record that can't be read has a numbered error, and none is taken for a fresh step."""
        for raw in (b"", b"{}", b"[1,1]", b"[1,1,-1]", b'[1,1,"x"]', b"[1,1,[1,2]]", b"\xff"):
            with self.subTest(raw=raw):
                with self.assertRaises(BadInputError) as caught:
                    read_step(raw, 3)
                self.assertEqual(caught.exception.code, ResultCode.CORRUPT_RECORD)


if __name__ == "__main__":
    unittest.main()
