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
# Part of the allowed renewals that long leases use; the rest is for claimants, of which
# there is one for each data centre.
LONG_PART = 0.6
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


def choose_terms(short_ttl, instances, claimant, renewals=None):
    """Return the LeaseTerms of one instance.

    ``short_ttl`` is the duration of a lease under which duties are held, ``instances``
    the number of all instances, and ``claimant`` whether this one may claim duties.
    ``renewals`` is how many renewals a second all instances together may make, None
    for any number.
    """
    short = LeaseTerms(short_ttl, short_ttl * RENEW_FRACTION)
    if claimant or not renewals or instances / short.renew_after <= renewals:
        return short
    interval = instances / (renewals * LONG_PART)
    return LeaseTerms(max(short_ttl, interval / LONG_RENEW_FRACTION), interval)


def is_kept(present, wanted):
    """Return whether a lease with the present LeaseTerms serves the wanted ones."""
    return present.ttl <= wanted.ttl * KEEP_RATIO and wanted.ttl <= (
        present.ttl * KEEP_RATIO
    )
