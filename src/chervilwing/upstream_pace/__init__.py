"""Pace of each upstream of a pool, as stated in its answers and as measured."""

from .pool_paces import PaceChange, PoolPaces, is_better_elsewhere
from .reading_rate import ReadingRate
from .reports import StatedReports, read_reports
from .stated_loads import StatedLoad, is_plausible, read_stated_load
from .upstream_paces import UpstreamPace

__all__ = [
    "PaceChange",
    "PoolPaces",
    "ReadingRate",
    "StatedLoad",
    "StatedReports",
    "UpstreamPace",
    "is_better_elsewhere",
    "is_plausible",
    "read_reports",
    "read_stated_load",
]
