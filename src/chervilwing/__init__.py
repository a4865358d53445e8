"""chervilwing: serve models and plain services on reclaimable instances.

The names below are the public interface of the core, which does no input or output. The
daemon is ``chervilwing.daemon``, the operators' tool ``chervilwing.cli``.
"""

from .claims import Ledger
from .documents import hash_key, parse_document
from .exceptions import ChervilwingError
from .membership import Membership
from .models import Configuration, Inventory, Rules
from .revisions import Revisions
from .scheduling import Scheduler
from .settings import Settings, read_settings
from .work import Placement, Refusal, Work

__version__ = "0.1.0"

__all__ = [
    "ChervilwingError",
    "Configuration",
    "Inventory",
    "Ledger",
    "Membership",
    "Placement",
    "Refusal",
    "Revisions",
    "Rules",
    "Scheduler",
    "Settings",
    "Work",
    "hash_key",
    "parse_document",
    "read_settings",
]
