"""Membership of instances, and leases on availability zones."""

from ._keeper import ClaimResult, TermClaims, TermView, ZoneLease, ZoneLeaseManager
from ._listing import HttpListing, ListedInstance, Listing
from ._view import (
    CROSS_ZONE_PERIOD_S,
    IN_ZONE_PERIOD_S,
    Heartbeat,
    MembershipView,
    PeerView,
)

__all__ = [
    "CROSS_ZONE_PERIOD_S",
    "IN_ZONE_PERIOD_S",
    "ClaimResult",
    "Heartbeat",
    "HttpListing",
    "ListedInstance",
    "Listing",
    "MembershipView",
    "PeerView",
    "TermClaims",
    "TermView",
    "ZoneLease",
    "ZoneLeaseManager",
]
