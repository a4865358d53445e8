"""Tests of the claims ledger, its writer and the ranking of members."""

import random
import unittest
import uuid

from chervilwing import messages as m
from chervilwing.claim_keys import ClaimKey, ClaimSettings, locate
from chervilwing.claim_writer import Writer
from chervilwing.claims import ClaimGranted, ClaimRecorded, ClaimRefused, Ledger
from chervilwing.exceptions import (
    BadKey,
    ClaimsFull,
    KeyExpired,
)
from chervilwing.ranking import rank
from chervilwing.revisions import Stamp
from chervilwing.segments import (
    CLAIM,
    DONE,
    RELEASE,
    SETTLE,
    Ask,
    Claim,
    Outcome,
    Segment,
    Verdict,
    decode,
    evaluate,
)
from tests.world import make_key

NOW = 1.8e9
CFG = ClaimSettings(shards=1)


def reply_to(store, request):
    """Return the reply to a read or write; ``store`` maps keys to (value, version)."""
    value, version = store.get(request.key, ("", 0))
    if isinstance(request, m.Read):
        return m.Found(value, version) if version else m.Missing()
    if request.expect != version:
        return m.Rejected(value, version)
    store[request.key] = request.value, version + 1
    return m.Written(version + 1)


def run_store_calls(core, actions, store, now):
    """Perform all store calls and those that follow; return the other actions."""
    results = []
    for action in actions:
        if isinstance(action, m.StoreCall):
            reply = reply_to(store, action.request)
            more = core.receive(action.token, reply, now)
            results += run_store_calls(core, more, store, now)
        else:
            results.append(action)
    return results


def claim(ledger, store, key, operation, now=NOW):
    return run_store_calls(ledger, ledger.claim(operation, key, "f", now), store, now)


class TestKeys(unittest.TestCase):
    def test_only_recent_canonical_uuid7_is_accepted(self):
        rng = random.Random(1)
        good = make_key(NOW, rng)
        bad = (
            "",
            "note-17",
            str(uuid.UUID(int=rng.getrandbits(128), version=4)),
            good.upper(),
            make_key(NOW + CFG.skew + 1, rng),
        )
        for text in bad:
            with self.subTest(key=text), self.assertRaises(BadKey):
                locate(CFG, ClaimKey("c", text), NOW)
        self.assertEqual(
            locate(CFG, ClaimKey("c", good), NOW).slot, int(NOW // CFG.slot)
        )

    def test_ring_covers_more_than_the_window(self):
        # A cell that is reused within the window would refuse keys that are still
        # valid.
        cfg = ClaimSettings()
        self.assertGreater(cfg.ring * cfg.slot, cfg.window + cfg.slot + cfg.skew)


class TestLedger(unittest.TestCase):
    def setUp(self):
        self.store = {}
        self.rng = random.Random(2)
        self.key = ClaimKey("c", make_key(NOW, self.rng))

    def test_same_uuid_of_two_customers_is_two_keys(self):
        # Two customers' terminals share a bad random source and make the same UUID.
        # As one key, the second customer would get the first customer's answer.
        ledger = Ledger(CFG, "one")
        other = self.key._replace(customer="d")
        claim(ledger, self.store, self.key, "op-1")
        run_store_calls(
            ledger, ledger.settle("op-1", Outcome(200, "c's"), NOW), self.store, NOW
        )
        (action,) = claim(ledger, self.store, other, "op-2")
        self.assertIsInstance(action, ClaimGranted)

    def test_cell_reused_by_a_newer_slot_refuses_older_keys(self):
        # An instance whose clock was set back claims a key whose claim is overwritten.
        # By its own clock the key is still valid; the newer stored slot must refuse it.
        later = NOW + CFG.ring * CFG.slot
        newer = ClaimKey("c", make_key(later, self.rng))
        claim(Ledger(CFG, "one"), self.store, newer, "op-1", later)
        (action,) = claim(Ledger(CFG, "two"), self.store, self.key, "op-2")
        self.assertIsInstance(action, ClaimRefused)
        self.assertIsInstance(action.failure, KeyExpired)

    def test_claim_in_an_unreadable_segment_is_refused(self):
        # Somebody overwrote a segment with garbage, so its claims can't be read.
        # If it counted as empty, requests with its keys would run again.
        cell = f"claims/0/{int(NOW // CFG.slot) % CFG.ring}"
        for garbage in ("", "{", "[]", '{"slot":1,"claims":{"k":[1]}}', "null"):
            with self.subTest(value=garbage):
                store = {cell: (garbage, 7)}
                (action,) = claim(Ledger(CFG, "one"), store, self.key, "op-1")
                self.assertIsInstance(action, ClaimRefused)
                self.assertEqual(store[cell], (garbage, 7))

    def test_full_segment_refuses_claims_and_keeps_outcomes(self):
        # Large outcomes bring a segment near a megabyte, the store's limit. A larger
        # write would be refused, and all claims in the same batch with it.
        cfg = CFG._replace(segment_limit=2_000, settle_delay=0.0)
        ledger = Ledger(cfg, "one")
        kinds = []
        for number in range(20):
            now = NOW + number
            key = ClaimKey("c", make_key(NOW, self.rng))
            (action,) = claim(ledger, self.store, key, f"op-{number}", now)
            kinds.append(type(action))
            actions = ledger.settle(f"op-{number}", Outcome(200, "x" * 300), now)
            run_store_calls(ledger, actions, self.store, now)
            run_store_calls(ledger, ledger.tick(now + 0.5), self.store, now + 0.5)
        self.assertIn(ClaimGranted, kinds)
        self.assertIsInstance(action, ClaimRefused)
        self.assertIsInstance(action.failure, ClaimsFull)
        for value, _ in self.store.values():
            self.assertLessEqual(len(value), cfg.segment_limit)

    def test_released_key_can_be_claimed_but_settled_key_cannot(self):
        ledger = Ledger(CFG, "one")
        claim(ledger, self.store, self.key, "op-1")
        run_store_calls(ledger, ledger.release("op-1", NOW), self.store, NOW)
        (action,) = claim(ledger, self.store, self.key, "op-2")
        self.assertIsInstance(action, ClaimGranted)
        run_store_calls(
            ledger, ledger.settle("op-2", Outcome(200, "yes"), NOW), self.store, NOW
        )
        run_store_calls(ledger, ledger.release("op-2", NOW), self.store, NOW)
        run_store_calls(ledger, ledger.tick(NOW + 1), self.store, NOW + 1)
        (action,) = claim(Ledger(CFG, "two"), self.store, self.key, "op-3", NOW + 1)
        self.assertIsInstance(action, ClaimRecorded)
        self.assertEqual(action.outcome, Outcome(200, "yes"))

    def test_late_grant_releases_only_claims_this_process_abandoned(self):
        # After a restart, an owner reports that a claim from before it was granted.
        # The previous process may have sent the request, so the key must stay claimed.
        claim(Ledger(CFG, "one"), self.store, self.key, "op-1")
        before = dict(self.store)
        owner = Ledger(CFG, "two")
        restarted = Ledger(CFG, "one")
        ask = self.ask(CLAIM)
        for forward in run_store_calls(
            owner, owner.hear("one", ask, NOW), self.store, NOW
        ):
            run_store_calls(
                restarted,
                restarted.hear("two", forward.message, NOW),
                self.store,
                NOW,
            )
        self.assertEqual(self.store, before)

    def test_burst_of_claims_stays_within_the_write_rate(self):
        # A thousand claims to one shard within a second must share a few writes, else
        # the store would refuse them.
        cfg = ClaimSettings(shards=1, writes_per_second=15.0)
        ledger = Ledger(cfg, "one")
        for number in range(1_000):
            now = NOW + number / 1_000
            key = ClaimKey("c", make_key(now, self.rng))
            claim(ledger, self.store, key, f"op-{number}", now)
            run_store_calls(ledger, ledger.tick(now), self.store, now)
        writes = sum(version for _, version in self.store.values())
        self.assertLessEqual(writes, 15 + cfg.write_burst)

    def test_claims_and_outcomes_share_the_writes(self):
        # Forty requests that ran for up to forty seconds end together, each in a cell
        # of its own, while new ones arrive. New claims must not wait behind the
        # outcomes until they time out, nor the outcomes for ever behind new claims.
        cfg = ClaimSettings(shards=1, writes_per_second=15.0)
        ledger = Ledger(cfg, "one")
        for number in range(40):
            now = NOW + number
            key = ClaimKey("c", make_key(now, self.rng))
            claim(ledger, self.store, key, f"old-{number}", now)
        for number in range(40):
            ledger.settle(f"old-{number}", Outcome(200, "y"), now)
        results = []
        for step in range(1, 200):
            at = now + step * 0.05
            key = ClaimKey("c", make_key(at, self.rng))
            results += claim(ledger, self.store, key, f"new-{step}", at)
            results += run_store_calls(ledger, ledger.tick(at), self.store, at)
        self.assertEqual({type(action) for action in results}, {ClaimGranted})
        segments = [decode(value) for value, _ in self.store.values()]
        claims = [item for segment in segments for item in segment.claims.values()]
        self.assertEqual(sum(item.outcome is not None for item in claims), 40)

    def test_grant_after_the_claim_timeout_is_released(self):
        # An instance pauses for five seconds while its claim is written. The caller
        # retries at another instance, which must get the claim.
        ledger = Ledger(CFG, "one")
        (read_call,) = ledger.claim("op-1", self.key, "f", NOW)
        (write_call,) = ledger.receive(read_call.token, m.Missing(), NOW)
        reply = reply_to(self.store, write_call.request)
        actions = ledger.receive(write_call.token, reply, NOW + 5)
        actions = run_store_calls(ledger, actions, self.store, NOW + 5)
        self.assertEqual([type(action) for action in actions], [ClaimRefused])
        other = Ledger(CFG, "two")
        (action,) = claim(other, self.store, self.key, "op-2", NOW + 5)
        self.assertIsInstance(action, ClaimGranted)

    def test_owner_rereads_a_segment_another_writer_may_have_changed(self):
        # An instance that can't reach the owner claims and settles a key by itself. The
        # owner read the claim but not the outcome, and would answer "in progress" from
        # its stale copy.
        owner, writer = Ledger(CFG, "one"), Ledger(CFG, "two")
        claim(writer, self.store, self.key, "op-1")
        claim(owner, self.store, self.key, "op-2")
        run_store_calls(
            writer, writer.settle("op-1", Outcome(200, "y"), NOW), self.store, NOW
        )
        run_store_calls(writer, writer.tick(NOW + 1), self.store, NOW + 1)
        (action,) = claim(owner, self.store, self.key, "op-3", NOW + 2)
        self.assertIsInstance(action, ClaimRecorded)

    def test_resumed_owner_ignores_an_expired_claim(self):
        # An owner resumes after a minute and reads a claim that its sender has refused
        # as not run. Writing it now would block the key.
        owner = Ledger(CFG, "two")
        ask = self.ask(CLAIM)
        self.assertEqual(owner.hear("one", ask, NOW + 60), ())

    def test_settled_or_expired_claim_is_not_changed(self):
        # A settle or release arrives minutes late or twice. It must not change a claim
        # with an outcome, nor an expired one, whose callers got "outcome unknown".
        past = NOW + CFG.run_limit + 1
        for outcome, now in ((Outcome(200, "y"), NOW), (None, past)):
            for kind in (SETTLE, RELEASE):
                with self.subTest(kind=kind, outcome=outcome):
                    stored = Claim("op-1", "f", "one", NOW + CFG.run_limit, outcome)
                    ask = self.ask(kind)
                    segment = Segment(ask.place.slot, {str(self.key): stored})
                    verdict = evaluate(segment, ask, now, CFG.skew)
                    self.assertEqual(verdict, Verdict(kind, "op-1", DONE))

    def ask(self, kind):
        """Return an ``Ask`` that instance one made at NOW."""
        place = locate(CFG, self.key, NOW)
        return Ask(kind, self.key, place, "op-1", "f", "one", NOW + CFG.run_limit)


class TestWriter(unittest.TestCase):
    def test_reply_with_an_unknown_token_is_ignored(self):
        self.assertEqual(Writer(CFG, "one").receive("x", m.Missing(), NOW), ())


class TestRestoredStore(unittest.TestCase):
    """The store returned from a copy that lacks claims."""

    def setUp(self):
        rng = random.Random(3)
        self.key = ClaimKey("andesur", make_key(NOW, rng))
        self.ledger, self.store = Ledger(CFG, "one"), {}
        self.claim("op-0", ClaimKey("andesur", make_key(NOW, rng)))
        self.copy = dict(self.store)

    def claim(self, operation, key, ledger=None):
        """Claim a key and return the result."""
        ledger = ledger or self.ledger
        actions = ledger.claim(operation, key, "f", NOW)
        return run_store_calls(ledger, actions, self.store, NOW)

    def restore(self):
        """Return the store from its copy, and let the instance learn of it."""
        self.store = dict(self.copy)
        actions = self.ledger.enter_epoch(NOW + 1)
        run_store_calls(self.ledger, actions, self.store, NOW + 1)
        run_store_calls(self.ledger, self.ledger.tick(NOW + 2), self.store, NOW + 2)

    def test_a_lost_claim_is_written_again_and_granted_to_nobody_else(self):
        # A call runs under its claim when the store loses it. Sent once more through
        # another instance, it would run twice.
        (granted,) = self.claim("op-1", self.key)
        self.assertIsInstance(granted, ClaimGranted)
        self.restore()
        (result,) = self.claim("op-2", self.key, Ledger(CFG, "two"))
        self.assertIsInstance(result, ClaimRefused)

    def test_a_lost_outcome_is_written_again(self):
        self.claim("op-1", self.key)
        self.copy = dict(self.store)
        actions = self.ledger.settle("op-1", Outcome(201, "x"), NOW)
        run_store_calls(self.ledger, actions, self.store, NOW)
        run_store_calls(self.ledger, self.ledger.tick(NOW + 1), self.store, NOW + 1)
        self.restore()
        (result,) = self.claim("op-2", self.key, Ledger(CFG, "two"))
        self.assertEqual(result.outcome, Outcome(201, "x"))

    def test_what_the_store_still_has_is_not_written_again(self):
        self.claim("op-1", self.key)
        self.copy = dict(self.store)
        self.restore()
        self.assertEqual(self.store, self.copy)


def read(value):
    """Return the Stamp in a value such as ``3 op-c op-b op-a``."""
    revision, *operations = value.split()
    return Stamp(int(revision), operations[0], tuple(operations[1:]))


class TestRank(unittest.TestCase):
    def test_only_tasks_of_a_removed_member_move(self):
        members = [f"i-{n}" for n in range(20)]
        before = {task: rank(str(task), members)[0] for task in range(64)}
        after = {task: rank(str(task), members[1:])[0] for task in range(64)}
        moved = {task for task in before if before[task] != after[task]}
        self.assertEqual({before[task] for task in moved}, {"i-0"})
