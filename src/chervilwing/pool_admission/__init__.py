"""Admission by urgency: which requests to a pool proceed, wait or are refused.

The placer decides for all instances; an instance without a placer decides for itself.
docs/design/POOL-ADMISSION.md compares the alternatives.
"""

from .activation import find_active_pools
from .bands import find_band
from .control import AdmissionControl
from .credit_queue import CreditQueue
from .decisions import AdmissionRequest, Admit, Refuse, Wait
from .pool import PoolAdmission
from .room import Room, measure_room

__all__ = [
    "AdmissionControl",
    "AdmissionRequest",
    "Admit",
    "CreditQueue",
    "PoolAdmission",
    "Refuse",
    "Room",
    "Wait",
    "find_active_pools",
    "find_band",
    "measure_room",
]
