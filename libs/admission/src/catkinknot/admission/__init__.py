"""Queues, fair shares, limits, run time estimates and retry budgets."""

from ._estimate import RunTimeEstimator
from ._fair import FairShare
from ._limits import CallerLimiter
from ._queue import JobQueue, QueuedJob
from ._retry import Backoff, RetryBudget

__all__ = [
    "Backoff",
    "CallerLimiter",
    "FairShare",
    "JobQueue",
    "QueuedJob",
    "RetryBudget",
    "RunTimeEstimator",
]
