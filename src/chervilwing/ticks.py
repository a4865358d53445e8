"""Events on which the components of a process run their periodic work."""

from circuits import Event


class tick(Event):
    """Fired at regular intervals."""


class serve_bulk(Event):
    """Fired while callers wait for the share of time for bulk work."""
