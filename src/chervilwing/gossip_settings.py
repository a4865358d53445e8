"""Settings of the gossip between entry instances."""

from typing import NamedTuple


class MembershipSettings(NamedTuple):
    """Configure the gossip; times in seconds, sizes in bytes, rates per second.

    With the defaults, each of 320 instances in 5 data centres stays under 3 KB a
    second, the limit for all control traffic of an instance; ``python -m bench.gossip``
    measures it. ``quotas`` are the numbers of links to instances of the same data
    centre, of other data centres in the region, and of other regions. A linked peer
    counts as silent after ``max_missed_probes``; its link is dropped and not chosen
    again for ``relink_delay``, unless the peer sends a frame before. A peer counts as a
    neighbour for ``contact_age`` after its last frame. ``sync_reserve`` is the part of
    the byte budget, 0 to 1, that table synchronisation must leave unused.
    """

    interval: float = 0.2
    links: int = 6
    quotas: tuple[int, int, int] = (3, 2, 1)
    fanout: int = 3
    max_pushes: int = 8
    probe_interval: float = 1.0
    probe_timeout: float = 0.9
    max_missed_probes: int = 8
    contact_age: float = 15.0
    relink_delay: float = 20.0
    rotation_interval: float = 30.0
    unlinked_probes_per_second: float = 8.0
    suspect_age: float = 7200.0
    tombstone_age: float = 86_400.0
    notice_age: float = 60.0
    items_per_frame: int = 40
    max_sync_frames: int = 2
    referrals: int = 3
    fetch_timeout: float = 1.0
    rate: float = 1500.0
    burst: float = 60_000.0
    sync_reserve: float = 0.2
    transfer_rate: float = 2_000_000.0
    transfer_burst: float = 4_000_000.0
