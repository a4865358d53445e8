"""Gateway processes of one data centre: one watches the store, the others query it."""

import json

from chervilwing.leader_queries import rank_leaders
from tests.fakes.control import HOST
from tests.procs import poll, read_file
from tests.test_platform import PlatformCase

NAMES = rank_leaders(["one", "two", "three"])
LEADER, NEXT, LAST = NAMES
REVOKE_BOUND = 3


class TestGroup(PlatformCase):
    def setUp(self):
        super().setUp()
        self.relays = {name: self.start_relay() for name in NAMES}
        self.gateways = {name: self.start_gateway(name) for name in NAMES}
        for name in (NEXT, LAST):
            poll(lambda name=name: self.find_leader(name) == LEADER)

    def start_relay(self):
        """Start a relay to the store for one instance, which can be cut."""
        target = f"{HOST}:{self.platform.port}"
        return self.procs.start_fake("relay", "--to", target)

    def start_gateway(self, name):
        """Start a gateway that reaches the store through its relay."""
        store = f"{HOST}:{self.relays[name].port}"
        return self.start(name, store=store, revoke_bound=str(REVOKE_BOUND), lease="3")

    def find_leader(self, name):
        """Return whom an instance follows, from its log."""
        return self.find_last(name, "leader followed", "leader")

    def find_placer(self, name):
        """Return who chooses upstreams for an instance, from its log."""
        return self.find_last(name, "placer", "placer")

    def find_last(self, name, message, field):
        """Return a field of an instance's last log line with this message."""
        lines = read_file(self.gateways[name].stdout).splitlines()
        found = [json.loads(line) for line in lines]
        matching = [line for line in found if line["message"] == message]
        return matching[-1][field] if matching else ""

    def revoke(self):
        """Revoke the key and issue another one."""
        self.document["version"] += 4
        self.document["tenants"][0]["apiKeys"] = ["k2"]
        self.publish()

    def expect_revoked(self, *names):
        """Wait until the old key is refused and the new one accepted."""
        for name in names:
            gateway = self.gateways[name]
            poll(lambda gateway=gateway: self.call(gateway) == 401)
            poll(lambda gateway=gateway: self.call(gateway, key="k2") == 200)

    def test_leader_shares_store_changes_with_cut_off_followers(self):
        # The store is unreachable for two of three machines. On their own they would
        # refuse every caller once their knowledge of keys is too old; the third one
        # still reaches the store and shares its state.
        for name in (NEXT, LAST):
            self.relays[name].fault(cut=True)
        self.revoke()
        self.expect_revoked(*NAMES)
        call_all = lambda: [self.call(self.gateways[name], key="k2") for name in NAMES]
        # The loop lasts longer than outdated knowledge of keys is trusted; each round
        # publishes a new version.
        for version in range(12):
            self.document["version"] += 1
            self.document["tenants"][0]["apiKeys"] = ["k2", f"n{version}"]
            self.publish()
            for name in NAMES:
                gateway, key = self.gateways[name], f"n{version}"
                poll(lambda g=gateway, key=key: self.call(g, key=key) == 200)
        self.assertEqual(call_all(), [200, 200, 200])

    def test_followers_of_a_leader_without_the_store_see_changes(self):
        # A leader without the store still replies, with outdated knowledge. Followers
        # that relied on it would miss the change, although they can reach the store
        # themselves.
        self.relays[LEADER].fault(cut=True)
        self.revoke()
        self.expect_revoked(NEXT, LAST)
        # The leader then learns the change from its followers.
        self.expect_revoked(LEADER)

    def test_resumed_leader_accepts_no_revoked_key(self):
        # The frozen leader sends no replies. When it resumes, its knowledge is seconds
        # old, and its socket buffer holds queries that have timed out.
        self.gateways[LEADER].freeze()
        self.revoke()
        self.expect_revoked(NEXT, LAST)
        # Every few seconds the followers query the frozen leader again and leave it
        # again.
        poll(lambda: self.find_leader(NEXT) == "")
        poll(lambda: self.find_leader(LAST) == NEXT)
        self.gateways[LEADER].resume()
        self.expect_revoked(LEADER)
        for name in (NEXT, LAST):
            poll(lambda name=name: self.find_leader(name) == LEADER)

    def test_requests_succeed_while_the_placer_is_frozen(self):
        # The instance that chooses upstreams for the others stops answering. The others
        # choose for themselves at first, and then ask the next instance.
        self.gateways[LEADER].freeze()
        statuses = [self.call(self.gateways[NEXT]) for _ in range(10)]
        self.assertEqual(statuses, [200] * 10)
        poll(lambda: self.find_placer(NEXT) == NEXT)
        poll(lambda: self.find_placer(LAST) in (NEXT, LAST))
        self.gateways[LEADER].resume()
        poll(lambda: self.find_placer(LAST) == LEADER)

    def test_all_gateways_recover_from_a_store_outage(self):
        for name in NAMES:
            self.relays[name].fault(cut=True)
        for name in NAMES:
            gateway = self.gateways[name]
            poll(lambda gateway=gateway: self.call(gateway) == 503, 15)
        for name in NAMES:
            self.relays[name].fault(cut=False)
        self.revoke()
        self.expect_revoked(*NAMES)

    def test_killed_leader_is_succeeded(self):
        self.gateways[LEADER].kill()
        self.revoke()
        self.expect_revoked(NEXT, LAST)
        poll(lambda: self.find_leader(LAST) == NEXT)
