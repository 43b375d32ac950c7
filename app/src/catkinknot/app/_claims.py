"""Claim the scheduling of this zone on the platform's log."""

from catkinknot.membership import ClaimAnswer, TermView
from catkinknot.platformlog import ZoneClaimed
from catkinknot.platformlog.exceptions import AppendUnknownError, NotAppendedError

from ._context import InstanceContext

__all__ = ["LogClaims"]

_CLAIM_WAIT_S = 2.0
_UNRESPONSIVE_AFTER_S = 8.0
"""A reader that has heard nothing for this long is cut off from the log."""

_NEVER_READ_S = 1e6


class LogClaims:
    """Read and claim terms through the log library."""

    def __init__(self, context: InstanceContext) -> None:
        """Prepare.

        Args:
            context: The shared parts.
        """
        self._context = context

    def present(self) -> TermView:
        """Return the term in force as far as the log was read."""
        with self._context.reader.state() as state:
            term = state.zone_term(self._context.zone)
        return TermView(term.term, term.holder)

    def claim(self, term: int, holder: str) -> ClaimAnswer:
        """Claim a term and wait for the verdict.

        Args:
            term: The term after the one in force.
            holder: This run of this instance.

        Returns:
            What became of the claim.
        """
        record = ZoneClaimed(self._context.zone, term, holder)
        try:
            verdict = self._context.appender.append_and_wait(record, _CLAIM_WAIT_S)
        except NotAppendedError:
            return ClaimAnswer.LOG_OUT
        except AppendUnknownError:
            return ClaimAnswer.UNKNOWN
        return ClaimAnswer.WON if verdict.ok else ClaimAnswer.LOST

    def out_for_s(self) -> float:
        """Return for how long the log has not answered, 0 when it does."""
        failing_s = self._context.appender.out_for_s()
        silent_s = self._context.reader.silent_for_s()
        if silent_s is None:
            return _NEVER_READ_S
        return max(failing_s, silent_s if silent_s > _UNRESPONSIVE_AFTER_S else 0.0)
