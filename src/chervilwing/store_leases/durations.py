"""Durations of instance leases, by which all renewals together stay bounded.

Only a claim to the duties needs a short lease. The registration of an instance may
outlast the instance: others notice a dead instance by its silence. In a large
deployment, most instances therefore take a long lease.
"""

from typing import NamedTuple

from ..leader_queries import NO_LINKS, rank_leaders

# Fraction of a short lease after which it is renewed.
RENEW_FRACTION = 0.3
# Fraction of a long lease after which it is renewed. The rest leaves seconds to retry.
LONG_RENEW_FRACTION = 0.7
# Renewals a second of all instances together up to which all leases are short.
MAX_SHORT_RENEWALS = 20.0
# Renewals a second of all long leases together. Two watching leaders make about eleven
# calls a second and the claimants of three data centres three; the sum is below twenty.
LONG_RENEWALS = 6.0
# Instances of each data centre that keep a short lease, so that they may claim the
# duties. Another one follows when the registration of the first has lapsed.
CLAIMANTS_PER_CENTRE = 1
# Largest ratio between the present and the wanted duration at which a long lease is
# kept: the number of instances changes with each start, and a change costs two calls.
KEEP_RATIO = 1.5


class LeaseTerms(NamedTuple):
    """Duration of a lease and the time until its renewal, both in seconds."""

    ttl: float
    renew_after: float


def is_claimant(name, centre_names, links=NO_LINKS):
    """Return whether an instance may claim duties, by rank in its data centre.

    ``centre_names`` are the instances of its data centre, itself included, and
    ``links`` the Mbit/s of the machines' links by name.
    """
    return name in rank_leaders(centre_names, links)[:CLAIMANTS_PER_CENTRE]


def choose_terms(short_ttl, instances, claimant):
    """Return the LeaseTerms of one instance.

    ``short_ttl`` is the duration of a lease under which duties are held, ``instances``
    the number of all instances, and ``claimant`` whether this one may claim duties.
    """
    short = LeaseTerms(short_ttl, short_ttl * RENEW_FRACTION)
    if claimant or instances / short.renew_after <= MAX_SHORT_RENEWALS:
        return short
    interval = instances / LONG_RENEWALS
    return LeaseTerms(max(short_ttl, interval / LONG_RENEW_FRACTION), interval)


def is_kept(present, wanted):
    """Return whether a lease with the present LeaseTerms serves the wanted ones."""
    return present.ttl <= wanted.ttl * KEEP_RATIO and wanted.ttl <= (
        present.ttl * KEEP_RATIO
    )
