"""Tables of bounded size."""


def keep_latest(table, max_entries):
    """Remove the oldest entries of an OrderedDict until ``max_entries`` remain."""
    while len(table) > max_entries:
        table.popitem(last=False)
