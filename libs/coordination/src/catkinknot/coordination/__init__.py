"""Leader election, scheduling and job service over one shared store."""

from ._election import Election
from ._job_service import Answer, JobService, Verdict
from ._leader import Claim, Leader
from ._peers import PeerList
from ._recorder import LEAD_KEY
from ._routes import StoreRouter
from ._servers import (
    EndRow,
    HoldAnswer,
    Listing,
    OrderOutcome,
    OrderReply,
    RunRow,
    ServerCalls,
    ServerListing,
    StartOrder,
    StopOrder,
)
from ._store import JOBS, PEERS, RUNS, Batch, Fence, Record, Snapshot, Store
from ._tail import Tail

__all__ = [
    "JOBS",
    "LEAD_KEY",
    "PEERS",
    "RUNS",
    "Answer",
    "Batch",
    "Claim",
    "Election",
    "EndRow",
    "Fence",
    "HoldAnswer",
    "JobService",
    "Leader",
    "Listing",
    "OrderOutcome",
    "OrderReply",
    "PeerList",
    "Record",
    "RunRow",
    "ServerCalls",
    "ServerListing",
    "Snapshot",
    "StartOrder",
    "StopOrder",
    "Store",
    "StoreRouter",
    "Tail",
    "Verdict",
]
