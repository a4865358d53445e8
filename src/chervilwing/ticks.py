"""The one event by which all tasks of a process learn that time has passed."""

from circuits import Event


class tick(Event):
    """Time has passed."""
