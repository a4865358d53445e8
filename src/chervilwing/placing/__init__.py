"""Placement in large pools: an index of candidates and the loads at other instances."""

from .candidates import MAX_SCORED_UPSTREAMS, CandidateIndex
from .peer_loads import PeerLoads

__all__ = ["MAX_SCORED_UPSTREAMS", "CandidateIndex", "PeerLoads"]
