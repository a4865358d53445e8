"""The event on which all components of a process run their periodic work."""

from circuits import Event


class tick(Event):
    """Fired at regular intervals."""
