"""Placement in large pools: an index of candidates and the loads at other instances."""

from .candidates import MAX_SCORED_UPSTREAMS, CandidateIndex
from .parts import (
    OTHER_PART_COST,
    PlacerPart,
    PoolParts,
    list_placers,
    list_pool_placers,
    rank_by_subject,
)
from .peer_loads import PeerLoads

__all__ = [
    "MAX_SCORED_UPSTREAMS",
    "OTHER_PART_COST",
    "CandidateIndex",
    "PeerLoads",
    "PlacerPart",
    "PoolParts",
    "list_placers",
    "list_pool_placers",
    "rank_by_subject",
]
