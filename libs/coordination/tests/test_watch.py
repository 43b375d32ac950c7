"""Test the leases of servers whose clocks are slow."""

import unittest

from stepping import MAX_LEASE_S, Base, job, run_for, step

SLOWEST_RATE = 0.98
"""A server's clock may be 2% slow."""

IDLE_S = 95.0


class TestSlowClocks(Base):
    """Cuts of servers that were idle for a while.

    `run_for` fails on a task that runs twice at the same time. Guards against
    leases that are counted from an old reading of a slow clock (review 1).
    """

    def setUp(self) -> None:
        """Let two servers with slow clocks run one job and then be idle."""
        super().setUp()
        for server in self.env.servers.all():
            server.clock_rate = SLOWEST_RATE
        self.submit(job("a" * 16, step(2, gpu=8)))
        self.run_for(IDLE_S)

    def _cut_off_at_work(self) -> None:
        """Start a job, and cut its server off."""
        for server in self.env.servers.all():
            server.work_s = 14.0
        self.submit(job("b" * 16, step(1, gpu=8)))
        self.run_for(1.6)
        [server] = [server for server in self.env.servers.all() if server.running()]
        server.faults.drop_requests = True

    def _restarted(self) -> bool:
        """Return whether the job was started twice."""
        starts = [s for server in self.env.servers.all() for s in server.starts]
        return sum(task.startswith("b") for _, task, _ in starts) == 2

    def test_cut_after_an_idle_time(self) -> None:
        """A task is started again only once its server has ended the first run."""
        self._cut_off_at_work()
        self.run_for(MAX_LEASE_S)
        self.assertTrue(self._restarted())

    def test_listing_of_before(self) -> None:
        """The same where the store shows no newer entries of the servers."""
        listings = self.env.servers.list()
        self.env.servers.list = lambda: listings
        self.run_for(IDLE_S)
        self._cut_off_at_work()
        self.run_for(MAX_LEASE_S)
        self.assertTrue(self._restarted())

    def test_start_without_answer(self) -> None:
        """The same where the start itself got no answer, so that the clock was never read."""
        for server in self.env.servers.all():
            server.work_s = 14.0
            server.faults.drop_answers = True
        self.submit(job("b" * 16, step(1, gpu=8)))
        self.run_for(0.1)
        for server in self.env.servers.all():
            server.faults.drop_answers = not server.running()
            server.faults.drop_requests = bool(server.running())
        self.run_for(0.5)
        for server in self.env.servers.all():
            server.faults.drop_answers = False
        self.run_for(MAX_LEASE_S)
        self.assertTrue(self._restarted())

    def test_next_leader(self) -> None:
        """The next leader counts on the leases of the first one, which no longer acts."""
        self._cut_off_at_work()
        self.second.lead()
        run_for(self.env, [self.second], MAX_LEASE_S + 1.0)
        self.assertTrue(self._restarted())


if __name__ == "__main__":
    unittest.main()
