"""For how long what a restored store has lost, or took back, stays in force."""

from math import inf

from .instance_records import DUTIES, INSTANCES, SHARED_DOCUMENTS

# Seconds for which a registration that the store returned with is ignored if it was
# deleted before. The entry of an upstream that is gone lapses meanwhile; one that is
# still there belongs to an upstream that runs.
RESTORED_REGISTRATION_HOLD = 8.0
# Seconds for which an instance that the store lost is still a peer. It registers itself
# again within a second. Without this, all would share the limits among fewer instances.
LOST_INSTANCE_HOLD = 5.0


def hold_documents(key, known, lost):
    """Return the seconds to keep a document that the store lost: until it's written."""
    return inf


def hold_registration(key, known, lost):
    """Return the seconds to ignore what a restored store says of a registration.

    A lost registration lapses like those that can't be renewed in an outage. One that
    is known as it was written later stays so until it is written again: it may say that
    its upstream leaves.
    """
    if lost:
        return 0.0
    return RESTORED_REGISTRATION_HOLD if known is None else inf


def hold_instance_item(key, known, lost):
    """Return the seconds to keep an item of the instances that the store lost.

    The claim to the duties holds only as long as the store has it, and shared documents
    are in force by themselves.
    """
    if key.startswith((DUTIES, SHARED_DOCUMENTS)):
        return 0.0
    return LOST_INSTANCE_HOLD if key.startswith(INSTANCES) else inf
