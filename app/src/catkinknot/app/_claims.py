"""Claim the term of this instance's zone on the platform's log."""

from catkinknot.membership import ClaimResult, TermView
from catkinknot.platformlog import ZoneClaimed
from catkinknot.platformlog.exceptions import AppendUnknownError, NotAppendedError

from ._context import InstanceContext

__all__ = ["LogClaims"]

_CLAIM_WAIT_S = 2.0
_UNRESPONSIVE_AFTER_S = 8.0
"""The log counts as unavailable once the reader has had no answer for this long."""

_NEVER_READ_S = 1e6
"""Reported as the length of the outage when the log was never read."""


class LogClaims:
    """The term of this instance's zone, read and claimed through the log library."""

    def __init__(self, context: InstanceContext) -> None:
        """Use the log reader and appender of an instance.

        Args:
            context: The context of this instance.
        """
        self._context = context

    def current_term(self) -> TermView:
        """Return the newest term up to the offset that was read."""
        with self._context.reader.state() as state:
            term = state.zone_term(self._context.zone)
        return TermView(term.term, term.holder)

    def claim(self, term: int, holder: str) -> ClaimResult:
        """Claim a term and wait for the verdict.

        Args:
            term: The term after the one in force.
            holder: The holder name of this process.

        Returns:
            The result of the claim.
        """
        record = ZoneClaimed(self._context.zone, term, holder)
        try:
            verdict = self._context.appender.append_and_wait(record, _CLAIM_WAIT_S)
        except NotAppendedError:
            return ClaimResult.LOG_DOWN
        except AppendUnknownError:
            return ClaimResult.UNKNOWN
        return ClaimResult.WON if verdict.ok else ClaimResult.LOST

    def unavailable_for_s(self) -> float:
        """Return for how many seconds the log has not answered, 0 while it does."""
        failing_s = self._context.appender.unavailable_for_s()
        silent_s = self._context.reader.last_response_age_s()
        if silent_s is None:
            return _NEVER_READ_S
        return max(failing_s, silent_s if silent_s > _UNRESPONSIVE_AFTER_S else 0.0)
