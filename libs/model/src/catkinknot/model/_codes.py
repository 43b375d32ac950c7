"""Numbered result codes that every reply carries."""

from dataclasses import dataclass
from enum import IntEnum

__all__ = ["CODE_TABLE", "CodeInfo", "Ran", "ResultCode", "code_info"]


class ResultCode(IntEnum):
    """Numbered outcome that is reported to a caller or an operator."""

    DONE = 1000
    ACCEPTED = 1001
    RUNNING = 1002
    BAD_JSON = 2000
    BAD_FIELD = 2001
    UNKNOWN_WORKSPACE = 2002
    UNKNOWN_KIND = 2003
    GANG_TOO_LARGE = 2004
    BODY_TOO_LARGE = 2005
    BAD_KEY = 2006
    BODY_CUT = 2007
    KEY_REUSED = 2008
    BAD_TOKEN = 2009
    UNKNOWN_JOB = 2010
    BAD_SETTINGS = 2011
    BAD_CONFIG = 2012
    GUARANTEE_EXCEEDS_FLEET = 2013
    CONFIG_CONFLICT = 2014
    CORRUPT_RECORD = 2015
    BAD_PEER_MESSAGE = 2016
    KEY_FILE_EXPOSED = 2017
    BODY_TOO_DEEP = 2018
    BAD_USAGE = 2019
    QUEUE_FULL = 3000
    DEADLINE_UNREACHABLE = 3001
    CALLER_LIMIT = 3002
    NO_CONFIG = 3003
    LEAVING = 3004
    ZONE_UNREACHABLE = 3005
    LOG_UNAVAILABLE = 3006
    CANCELLED = 3007
    NO_CAPACITY = 3008
    DEADLINE_PASSED = 3009
    JOB_FAILED = 4000
    JOB_CANNOT_RUN = 4001
    STOPPED = 4002
    LOST = 4003
    OUTCOME_UNKNOWN = 5000
    RESULT_DAMAGED = 5001
    NOT_REACHABLE = 5002
    INTERNAL = 5003


class Ran(IntEnum):
    """Whether the job ran."""

    NO = 0
    YES = 1
    UNKNOWN = 2


@dataclass(frozen=True)
class CodeInfo:
    """Entry of the result code table, for callers, operators and the docs.

    Attributes:
        code: The result code.
        http_status: HTTP status of a reply with this code.
        ran: Whether the job ran.
        retry: Whether the caller may send the same request again.
        advice: Recommended action, in one sentence.
    """

    code: ResultCode
    http_status: int
    ran: Ran
    retry: bool
    advice: str


def _table() -> dict[ResultCode, CodeInfo]:
    """Build the table of all codes.

    Returns:
        One entry for each member of `ResultCode`.
    """
    code = ResultCode
    no, yes, unknown = Ran.NO, Ran.YES, Ran.UNKNOWN
    rows = [
        CodeInfo(code.DONE, 200, yes, False, "Use the result."),
        CodeInfo(code.ACCEPTED, 202, unknown, True, "Ask for the result later."),
        CodeInfo(code.RUNNING, 202, unknown, True, "Ask for the result later."),
        CodeInfo(code.BAD_JSON, 400, no, False, "Send well-formed JSON."),
        CodeInfo(code.BAD_FIELD, 400, no, False, "Correct the named field."),
        CodeInfo(code.UNKNOWN_WORKSPACE, 404, no, False, "Name a configured workspace."),
        CodeInfo(code.UNKNOWN_KIND, 404, no, False, "Name a configured kind."),
        CodeInfo(code.GANG_TOO_LARGE, 400, no, False, "Request fewer accelerators."),
        CodeInfo(code.BODY_TOO_LARGE, 413, no, False, "Send a smaller body."),
        CodeInfo(code.BAD_KEY, 400, no, False, "Use 1 to 64 of A-Z a-z 0-9 . _ -"),
        CodeInfo(code.BODY_CUT, 400, no, True, "Send the complete body."),
        CodeInfo(code.KEY_REUSED, 409, no, False, "Use a new key for a different job."),
        CodeInfo(code.BAD_TOKEN, 401, no, False, "Send the operators' token."),
        CodeInfo(code.UNKNOWN_JOB, 404, unknown, False, "Submit with the same key."),
        CodeInfo(code.BAD_SETTINGS, 400, no, False, "Correct the settings file."),
        CodeInfo(code.BAD_CONFIG, 400, no, False, "Correct the named fields."),
        CodeInfo(code.GUARANTEE_EXCEEDS_FLEET, 400, no, False, "Lower a guarantee or add servers."),
        CodeInfo(code.CONFIG_CONFLICT, 409, no, False, "Read the newest version and try again."),
        CodeInfo(code.CORRUPT_RECORD, 500, no, False, "Notify the log's operators."),
        CodeInfo(code.BAD_PEER_MESSAGE, 400, no, False, "Check the peer's version."),
        CodeInfo(code.KEY_FILE_EXPOSED, 400, no, False, "Make the key file private."),
        CodeInfo(code.BODY_TOO_DEEP, 400, no, False, "Reduce the nesting depth."),
        CodeInfo(code.BAD_USAGE, 400, no, False, "See --help."),
        CodeInfo(code.QUEUE_FULL, 429, no, True, "Retry after a pause."),
        CodeInfo(code.DEADLINE_UNREACHABLE, 429, no, True, "Retry later or allow more time."),
        CodeInfo(code.CALLER_LIMIT, 429, no, True, "Retry after some jobs have ended."),
        CodeInfo(code.NO_CONFIG, 503, no, True, "Publish a configuration."),
        CodeInfo(code.LEAVING, 503, no, True, "Retry through another instance."),
        CodeInfo(code.ZONE_UNREACHABLE, 503, no, True, "Retry after a pause."),
        CodeInfo(code.LOG_UNAVAILABLE, 503, no, True, "Retry after a pause."),
        CodeInfo(code.CANCELLED, 200, no, False, "No action is needed; the job did not run."),
        CodeInfo(code.NO_CAPACITY, 503, no, True, "Retry later or request less."),
        CodeInfo(code.DEADLINE_PASSED, 504, no, True, "Retry with a later deadline."),
        CodeInfo(code.JOB_FAILED, 422, yes, False, "Read the message and correct the job."),
        CodeInfo(code.JOB_CANNOT_RUN, 422, yes, False, "The job failed on several servers."),
        CodeInfo(code.STOPPED, 200, unknown, False, "The job was cancelled; a part may have run."),
        CodeInfo(code.LOST, 500, unknown, False, "Check the job's effects, then use a new key."),
        CodeInfo(code.OUTCOME_UNKNOWN, 202, unknown, True, "Ask again; the outcome is pending."),
        CodeInfo(code.RESULT_DAMAGED, 502, yes, True, "Ask for the result again."),
        CodeInfo(code.NOT_REACHABLE, 503, unknown, True, "Retry with the same key."),
        CodeInfo(code.INTERNAL, 500, unknown, True, "Retry with the same key; notify operators."),
    ]
    return {row.code: row for row in rows}


CODE_TABLE = _table()


def code_info(code: ResultCode) -> CodeInfo:
    """Look up the table entry of a result code.

    Args:
        code: The result code.

    Returns:
        The entry.
    """
    return CODE_TABLE[code]
