"""Priority bands of requests, as the fair queue defines them."""

from ..queues import LOWEST_BAND


def find_band(priority):
    """Return the band of a priority; 0 is the most urgent."""
    return min(LOWEST_BAND, max(0, priority))
