"""State that instances agree on through the platform's append-only log."""

from ._appender import Appender, AppendFuture
from ._client import HttpLogClient, LogClient, NewEntry, Page
from ._reader import AppliedEntry, LogReader
from ._records import (
    AttemptCleared,
    CancelRequested,
    ConfigPublished,
    Entry,
    JobAccepted,
    JobEnded,
    Record,
    SnapshotTaken,
    StartIntended,
    ZoneClaimed,
    decode_record,
    encode_record,
)
from ._state import (
    ConfigInForce,
    DurableJob,
    LogState,
    Verdict,
    ZoneTerm,
    pack_state,
    unpack_state,
)

__all__ = [
    "AppendFuture",
    "Appender",
    "AppliedEntry",
    "AttemptCleared",
    "CancelRequested",
    "ConfigInForce",
    "ConfigPublished",
    "DurableJob",
    "Entry",
    "HttpLogClient",
    "JobAccepted",
    "JobEnded",
    "LogClient",
    "LogReader",
    "LogState",
    "NewEntry",
    "Page",
    "Record",
    "SnapshotTaken",
    "StartIntended",
    "Verdict",
    "ZoneClaimed",
    "ZoneTerm",
    "decode_record",
    "encode_record",
    "pack_state",
    "unpack_state",
]
