"""Membership of instances, and leases on availability zones."""

from ._listing import HttpListing, ListedInstance, Listing
from ._view import (
    CROSS_ZONE_PERIOD_S,
    IN_ZONE_PERIOD_S,
    Heartbeat,
    MembershipView,
    PeerView,
)
from ._zone_lease import ClaimResult, TermClaims, TermView, ZoneLease, ZoneLeaseManager

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
