"""Leader election, scheduling and job service over one shared store."""

from ._cluster_state import ClusterState
from ._combine import AppendCombiner
from ._election import Election
from ._job_service import Answer, JobService, Verdict
from ._leader import Claim, Leader
from ._peers import PeerList
from ._planner import Planner
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
    name_lifetime,
)
from ._store import JOBS, PEERS, RUNS, Batch, Fence, Record, Snapshot, Store
from ._tail import Tail
from ._views import RunView, ServerView

__all__ = [
    "JOBS",
    "LEAD_KEY",
    "PEERS",
    "RUNS",
    "Answer",
    "AppendCombiner",
    "Batch",
    "Claim",
    "ClusterState",
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
    "Planner",
    "Record",
    "RunRow",
    "RunView",
    "ServerCalls",
    "ServerListing",
    "ServerView",
    "Snapshot",
    "StartOrder",
    "StopOrder",
    "Store",
    "StoreRouter",
    "Tail",
    "Verdict",
    "name_lifetime",
]
