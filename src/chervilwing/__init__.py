"""chervilwing: serve models and plain services on reclaimable instances.

The names below are the public interface of the core, which does no input or output. The
entry daemon is ``chervilwing.daemon``, the gateway ``chervilwing.gatewayd``, the
operators' tool ``chervilwing.cli``.
"""

from importlib import import_module

__version__ = "0.1.0"

# The module of each public name, imported at first use. Importing the modules that the
# gateway never uses took a fifth of its start time, and after a power loss callers wait
# until it has started.
_MODULES = {
    "ChervilwingError": "exceptions",
    "Configuration": "models",
    "Inventory": "models",
    "Ledger": "claims",
    "Membership": "membership",
    "Placement": "work",
    "Refusal": "work",
    "Revisions": "revisions",
    "Rules": "models",
    "Scheduler": "scheduling",
    "Settings": "settings",
    "Work": "work",
    "hash_key": "documents",
    "parse_document": "documents",
    "read_settings": "settings",
}

__all__ = list(_MODULES)


def __getattr__(name):
    """Load a public name (PEP 562)."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f".{_MODULES[name]}", __name__), name)
