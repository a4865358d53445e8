"""The prefixes of the store that an instance follows, and how it follows them."""

from .holds import hold_documents, hold_instance_item, hold_registration
from .instance_records import INSTANCES
from .mirrors import Mirror

# Seconds that a watch waits for a change. Each reply, even without changes, renews the
# knowledge of this instance and of those that query it; see
# leader_queries.MAX_FRESH_AGE.
CONFIGURATION_WAIT = 0.4
REGISTRATIONS_WAIT = 0.4
INSTANCES_WAIT = 4.0
# Seconds after a change of the instances until the next call. When dozens of instances
# start within a second, each would otherwise wake every watch. An instance that has
# gone is queried for about another second in any case.
INSTANCES_SPACING = 0.5
# Seconds after a change of the registrations until the next call. A reclaim wave takes
# a whole data centre's upstreams; each change would wake every instance, and every call
# is charged for and counted. A leaving upstream still serves for two seconds, so that a
# quarter of a second does no harm.
REGISTRATIONS_SPACING = 0.25


def make_mirrors(documents, registrations, rng):
    """Return the Mirrors of the documents, registrations and instances' items."""
    return (
        Mirror(documents, CONFIGURATION_WAIT, rng, compute_hold=hold_documents),
        Mirror(
            registrations,
            REGISTRATIONS_WAIT,
            rng,
            REGISTRATIONS_SPACING,
            hold_registration,
        ),
        Mirror(
            INSTANCES.rstrip("/"),
            INSTANCES_WAIT,
            rng,
            INSTANCES_SPACING,
            hold_instance_item,
        ),
    )
