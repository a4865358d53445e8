"""Settings of the gossip between entry instances."""

from typing import NamedTuple


class MembershipSettings(NamedTuple):
    """Tune the gossip; times in seconds, sizes in bytes.

    The defaults hold 320 instances in 5 data centres under the 3 KB a second that
    letter 1 gives a node for all control; ``python -m bench.gossip`` measures them.
    """

    interval: float = 0.2
    links: int = 6
    quotas: tuple[int, int, int] = (3, 2, 1)
    fanout: int = 3
    copies: int = 8
    probe_interval: float = 1.0
    probe_timeout: float = 0.9
    misses: int = 8
    inbound_age: float = 15.0
    shun: float = 20.0
    rotation: float = 30.0
    trials_per_second: float = 8.0
    suspect_age: float = 7200.0
    tombstone_age: float = 86_400.0
    notice_age: float = 60.0
    frame_items: int = 40
    sync_frames: int = 2
    referrals: int = 3
    fetch_timeout: float = 1.0
    rate: float = 1500.0
    burst: float = 60_000.0
    sync_reserve: float = 0.2
    transfer_rate: float = 2_000_000.0
    transfer_burst: float = 4_000_000.0
