"""Admission by urgency: which requests to a pool proceed, wait or are refused.

The placer decides for all instances; an instance without a placer decides for itself.
docs/design/POOL-ADMISSION.md compares the alternatives.
"""

from .activation import find_active_pools
from .bands import find_band
from .control import AUTO, OFF, AdmissionControl, Capacity
from .credit_queue import CreditQueue
from .decisions import ADMIT, WAIT, AdmissionRequest, Admit, Refuse, Wait
from .pool import PoolAdmission
from .request_path import RequestPath
from .room import Room, measure_room
from .upstream_checks import UpstreamChecks

__all__ = [
    "ADMIT",
    "AUTO",
    "OFF",
    "AdmissionControl",
    "AdmissionRequest",
    "Admit",
    "Capacity",
    "CreditQueue",
    "PoolAdmission",
    "Refuse",
    "RequestPath",
    "Room",
    "UpstreamChecks",
    "WAIT",
    "Wait",
    "find_active_pools",
    "find_band",
    "measure_room",
]
