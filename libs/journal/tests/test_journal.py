"""Test the timeline, the health of lanes and the JSON log writer."""

import io
import json
import threading
import unittest

from loguru import logger

from catkinknot.journal import (
    EventFilter,
    EventRing,
    LaneCounts,
    LineWriter,
    LogicalClock,
    ServiceWindow,
    evaluate_lane,
    merge_events,
)
from catkinknot.model import Outcome, ResultCode, SteppedClock


class TestTimeline(unittest.TestCase):
    """Order and bounds of the event timeline."""

    def test_causal_order_though_clocks_differ(self):
        """An answer sorts after its question although the answering machine's clock is behind."""
        ahead, behind = (
            LogicalClock(clock=SteppedClock(1000.0)),
            LogicalClock(clock=SteppedClock(990.0)),
        )
        asker, answerer = EventRing("one", ahead), EventRing("two", behind)
        asker.add("entry", "asked")
        behind.observe(ahead.tick())
        answerer.add("scheduler", "answered")
        ahead.observe(behind.tick())
        asker.add("entry", "told")
        merged = merge_events([answerer.find(EventFilter()), asker.find(EventFilter())])
        self.assertEqual([event.name for event in merged], ["asked", "answered", "told"])

    def test_malformed_stamps_are_ignored(self):
        """A malformed timestamp of a peer does not move the clock."""
        clock = LogicalClock(clock=SteppedClock(5.0))
        for stamp in ("", "x.y", "5", "-1.0"):
            clock.observe(stamp)
        self.assertTrue(clock.tick().startswith("00000000005000"))

    def test_ring_is_bounded_and_filtered(self):
        """The oldest events are dropped, and a filter selects by job, zone and limit."""
        ring = EventRing("i", LogicalClock(clock=SteppedClock(1.0)), size=3)
        for number in range(5):
            ring.add("p", "e", job=f"w/{number}", zone="z")
        self.assertEqual(len(ring.find(EventFilter())), 3)
        self.assertEqual(len(ring.find(EventFilter(job="w/4"))), 1)
        self.assertEqual(len(ring.find(EventFilter(zone="other"))), 0)
        self.assertEqual(len(ring.find(EventFilter(limit=2))), 2)


class TestLaneHealth(unittest.TestCase):
    """Health of a lane by the answers that its callers received."""

    def test_states(self):
        """Each mix of answers yields its state, reason and advice."""
        for name, counts, state, word in (
            ("no requests", LaneCounts("w", "k"), "idle", "nobody"),
            ("all good", LaneCounts("w", "k", good=50), "up", "results"),
            ("one in fifty bad", LaneCounts("w", "k", good=49, bad={3009: 1}), "up", "results"),
            ("a third late", LaneCounts("w", "k", good=20, late=10), "partly", "after their"),
            ("overload", LaneCounts("w", "k", good=5, bad={3001: 95}), "down", "more work"),
            ("full queues", LaneCounts("w", "k", good=50, bad={3000: 50}), "partly", "queued"),
            ("log unavailable", LaneCounts("w", "k", bad={3006: 9}), "down", "log"),
            ("zone cut off", LaneCounts("w", "k", good=9, bad={3005: 9}), "partly", "schedules"),
            ("no configuration", LaneCounts("w", "k", bad={3003: 9}), "down", "configuration"),
            ("servers lost", LaneCounts("w", "k", bad={4003: 9}), "down", "lost"),
            ("no capacity", LaneCounts("w", "k", bad={3008: 9}), "down", "no server"),
            ("stuck queue", LaneCounts("w", "k", oldest_wait_s=99.0), "down", "deadline"),
        ):
            with self.subTest(name):
                health = evaluate_lane("w", "k", [counts], deadline_s=10.0)
                self.assertEqual(health.state, state)
                self.assertIn(word, health.why)
                self.assertTrue(health.what_to_do)

    def test_unavailable_log_is_named_as_the_reason(self):
        """Unknown outcomes of durable jobs are attributed to the log while it is unavailable."""
        counts = [LaneCounts("w", "k", bad={5000: 3})]
        health = evaluate_lane("w", "k", counts, deadline_s=9.0, blocked_by_log=True)
        self.assertEqual(health.state, "down")
        self.assertIn("log does not answer", health.why)

    def test_window_expires_answers_and_dates_degradation(self):
        """Expired answers no longer count, and a degradation has a start and an end."""
        clock = SteppedClock(100.0)
        window = ServiceWindow(clock=clock)
        bad = Outcome("w", "k", ResultCode.NO_CAPACITY)
        window.record("kind", bad, took_s=1.0, deadline_s=5.0)
        self.assertEqual(window.counts()[0].since_s, 100.0)
        clock.advance(50.0)
        self.assertEqual(window.counts()[0].since_s, 100.0)
        clock.advance(100.0)
        self.assertEqual((window.counts()[0].bad, window.counts()[0].since_s), ({}, 0.0))

    def test_errors_of_callers_do_not_count(self):
        """Failures that the job or its caller causes do not make the service look down."""
        window = ServiceWindow(clock=SteppedClock())
        for code in (ResultCode.JOB_CANNOT_RUN, ResultCode.KEY_REUSED, ResultCode.CALLER_LIMIT):
            window.record("kind", Outcome("w", "k", code), took_s=1.0, deadline_s=5.0)
        self.assertEqual(window.counts(), [])


class TestLineWriter(unittest.TestCase):
    """JSON lines, written without blocking on a slow reader."""

    def write(self, max_lines: int, count: int) -> tuple[LineWriter, list[dict]]:
        """Log some lines, then start the writer; return the writer and its output."""
        stream = io.StringIO()
        seen = []
        writer = LineWriter(
            "a-1", stream, max_lines=max_lines, observe=lambda text, fields: seen.append(text)
        )
        handler = logger.add(writer.enqueue, format="{message}")
        for i in range(count):
            logger.bind(part="x", job="j", n=i).info("A job was queued.")
        logger.remove(handler)
        self.assertEqual(len(seen), count)
        thread = threading.Thread(target=writer.write_lines)
        thread.start()
        writer.close()
        thread.join()
        return writer, [json.loads(line) for line in stream.getvalue().splitlines()]

    def test_fields(self) -> None:
        """A line holds its text, its part and everything that was bound."""
        _, (line,) = self.write(10, 1)
        self.assertEqual((line["text"], line["part"], line["job"]), ("A job was queued.", "x", "j"))
        self.assertEqual(line["instance"], "a-1")

    def test_full_queue_drops_and_counts(self) -> None:
        """Lines beyond the queue's limit are dropped and counted, and the count is written."""
        writer, lines = self.write(5, 9)
        self.assertGreaterEqual(writer.dropped, 4)
        self.assertEqual(lines[1], {"text": "Lines were left out.", "lines": 4})
