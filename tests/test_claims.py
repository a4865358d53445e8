"""Tests of claims and rankings that need no simulated world."""

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
    judge,
)
from tests.world import make_key

NOW = 1.8e9
CFG = ClaimSettings(shards=1)


def serve(store, request):
    """Answer a read or a write from a dict of value and version."""
    value, version = store.get(request.key, ("", 0))
    if isinstance(request, m.Read):
        return m.Found(value, version) if version else m.Missing()
    if request.expect != version:
        return m.Rejected(value, version)
    store[request.key] = request.value, version + 1
    return m.Written(version + 1)


def drive(part, actions, store, now):
    """Answer all store calls at once; return the other actions."""
    results = []
    for action in actions:
        if isinstance(action, m.StoreCall):
            reply = serve(store, action.request)
            more = part.receive(action.token, reply, now)
            results += drive(part, more, store, now)
        else:
            results.append(action)
    return results


def claim(ledger, store, key, operation, now=NOW):
    return drive(ledger, ledger.claim(operation, key, "f", now), store, now)


class TestKeys(unittest.TestCase):
    def test_only_recent_uuid7_in_canonical_form(self):
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

    def test_ring_outlasts_the_window(self):
        # A cell used again within the window would refuse keys that are still valid.
        cfg = ClaimSettings()
        self.assertGreater(cfg.ring * cfg.slot, cfg.window + cfg.slot + cfg.skew)


class TestLedger(unittest.TestCase):
    def setUp(self):
        self.store = {}
        self.rng = random.Random(2)
        self.key = ClaimKey("c", make_key(NOW, self.rng))

    def test_same_uuid_of_two_customers_is_two_keys(self):
        # Two customers' terminals share a bad random source and make the same UUID.
        # Were it one key, the second would get the first one's answer.
        ledger = Ledger(CFG, "one")
        other = self.key._replace(customer="d")
        claim(ledger, self.store, self.key, "op-1")
        drive(ledger, ledger.settle("op-1", Outcome(200, "c's"), NOW), self.store, NOW)
        (action,) = claim(ledger, self.store, other, "op-2")
        self.assertIsInstance(action, ClaimGranted)

    def test_cell_taken_by_a_newer_slot_refuses_older_keys(self):
        # An instance whose clock went back asks for a key that was forgotten.
        # Its own clock says that the key is fresh; the stored slot says otherwise.
        later = NOW + CFG.ring * CFG.slot
        newer = ClaimKey("c", make_key(later, self.rng))
        claim(Ledger(CFG, "one"), self.store, newer, "op-1", later)
        (action,) = claim(Ledger(CFG, "two"), self.store, self.key, "op-2")
        self.assertIsInstance(action, ClaimRefused)
        self.assertIsInstance(action.failure, KeyExpired)

    def test_unreadable_segment_is_refused_and_kept(self):
        # Somebody wrote rubbish over a segment: its claims can't be read.
        # Taken for empty, its keys would run again.
        cell = f"claims/0/{int(NOW // CFG.slot) % CFG.ring}"
        for rubbish in ("", "{", "[]", '{"slot":1,"claims":{"k":[1]}}', "null"):
            with self.subTest(value=rubbish):
                store = {cell: (rubbish, 7)}
                (action,) = claim(Ledger(CFG, "one"), store, self.key, "op-1")
                self.assertIsInstance(action, ClaimRefused)
                self.assertEqual(store[cell], (rubbish, 7))

    def test_full_segment_refuses_claims_and_keeps_outcomes(self):
        # All of a shard's notes of four seconds hold large answers, near a megabyte.
        # Over it the store would refuse the write, and all claims with it.
        cfg = CFG._replace(segment_limit=2_000, settle_wait=0.0)
        ledger = Ledger(cfg, "one")
        kinds = []
        for number in range(20):
            now = NOW + number
            key = ClaimKey("c", make_key(NOW, self.rng))
            (action,) = claim(ledger, self.store, key, f"op-{number}", now)
            kinds.append(type(action))
            actions = ledger.settle(f"op-{number}", Outcome(200, "x" * 300), now)
            drive(ledger, actions, self.store, now)
            drive(ledger, ledger.tick(now + 0.5), self.store, now + 0.5)
        self.assertIn(ClaimGranted, kinds)
        self.assertIsInstance(action, ClaimRefused)
        self.assertIsInstance(action.failure, ClaimsFull)
        for value, _ in self.store.values():
            self.assertLessEqual(len(value), cfg.segment_limit)

    def test_released_key_can_be_claimed_and_settled_key_not(self):
        ledger = Ledger(CFG, "one")
        claim(ledger, self.store, self.key, "op-1")
        drive(ledger, ledger.release("op-1", NOW), self.store, NOW)
        (action,) = claim(ledger, self.store, self.key, "op-2")
        self.assertIsInstance(action, ClaimGranted)
        drive(ledger, ledger.settle("op-2", Outcome(200, "yes"), NOW), self.store, NOW)
        drive(ledger, ledger.release("op-2", NOW), self.store, NOW)
        drive(ledger, ledger.tick(NOW + 1), self.store, NOW + 1)
        (action,) = claim(Ledger(CFG, "two"), self.store, self.key, "op-3", NOW + 1)
        self.assertIsInstance(action, ClaimRecorded)
        self.assertEqual(action.outcome, Outcome(200, "yes"))

    def test_late_grant_frees_only_what_this_process_gave_up(self):
        # An instance restarts; an owner then tells it that a claim of its former life
        # is granted. The former life may have sent the request: it must stay claimed.
        claim(Ledger(CFG, "one"), self.store, self.key, "op-1")
        before = dict(self.store)
        owner = Ledger(CFG, "two")
        restarted = Ledger(CFG, "one")
        ask = self.ask(CLAIM)
        for forward in drive(owner, owner.hear("one", ask, NOW), self.store, NOW):
            drive(
                restarted,
                restarted.hear("two", forward.message, NOW),
                self.store,
                NOW,
            )
        self.assertEqual(self.store, before)

    def test_writes_keep_the_pace_under_a_burst(self):
        # A thousand claims to one shard within a second.
        cfg = ClaimSettings(shards=1, writes_per_second=15.0)
        ledger = Ledger(cfg, "one")
        for number in range(1_000):
            now = NOW + number / 1_000
            key = ClaimKey("c", make_key(now, self.rng))
            claim(ledger, self.store, key, f"op-{number}", now)
            drive(ledger, ledger.tick(now), self.store, now)
        writes = sum(version for _, version in self.store.values())
        self.assertLessEqual(writes, 15 + cfg.write_burst)

    def test_claims_and_outcomes_share_the_writes(self):
        # Forty notes that ran for up to forty seconds end together, each in a cell of
        # its own, while brokers send new ones. The new ones wait behind the outcomes
        # until they are refused; or the outcomes wait for ever behind new ones.
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
            results += drive(ledger, ledger.tick(at), self.store, at)
        self.assertEqual({type(action) for action in results}, {ClaimGranted})
        segments = [decode(value) for value, _ in self.store.values()]
        claims = [one for segment in segments for one in segment.claims.values()]
        self.assertEqual(sum(one.outcome is not None for one in claims), 40)

    def test_grant_after_the_wait_is_given_back(self):
        # An instance stops for five seconds while its claim is written.
        # The caller has gone and sends it elsewhere: it must run there, once.
        ledger = Ledger(CFG, "one")
        (read_call,) = ledger.claim("op-1", self.key, "f", NOW)
        (write_call,) = ledger.receive(read_call.token, m.Missing(), NOW)
        reply = serve(self.store, write_call.request)
        actions = ledger.receive(write_call.token, reply, NOW + 5)
        actions = drive(ledger, actions, self.store, NOW + 5)
        self.assertEqual([type(action) for action in actions], [ClaimRefused])
        other = Ledger(CFG, "two")
        (action,) = claim(other, self.store, self.key, "op-2", NOW + 5)
        self.assertIsInstance(action, ClaimGranted)

    def test_owner_reads_again_what_another_writer_may_have_changed(self):
        # Cut off from its owner, an instance claims and settles a key by itself.
        # The owner saw the claim but not the outcome, and says "in progress" for ever.
        owner, writer = Ledger(CFG, "one"), Ledger(CFG, "two")
        claim(writer, self.store, self.key, "op-1")
        claim(owner, self.store, self.key, "op-2")
        drive(writer, writer.settle("op-1", Outcome(200, "y"), NOW), self.store, NOW)
        drive(writer, writer.tick(NOW + 1), self.store, NOW + 1)
        (action,) = claim(owner, self.store, self.key, "op-3", NOW + 2)
        self.assertIsInstance(action, ClaimRecorded)

    def test_thawed_owner_drops_an_ask_that_was_given_up(self):
        # An owner goes on after a minute and finds an ask among what came in.
        # Written now, it would block a key that was refused as not run.
        owner = Ledger(CFG, "two")
        ask = self.ask(CLAIM)
        self.assertEqual(owner.hear("one", ask, NOW + 60), ())

    def test_what_was_said_of_a_claim_is_not_taken_back(self):
        # A release that was under way for minutes, or comes twice, reaches the owner.
        # It must free neither a key that has run nor one called unknown.
        past = NOW + CFG.run_limit + 1
        for outcome, now in ((Outcome(200, "y"), NOW), (None, past)):
            for kind in (SETTLE, RELEASE):
                with self.subTest(kind=kind, outcome=outcome):
                    stored = Claim("op-1", "f", "one", NOW + CFG.run_limit, outcome)
                    ask = self.ask(kind)
                    segment = Segment(ask.place.slot, {str(self.key): stored})
                    verdict = judge(segment, ask, now, CFG.skew)
                    self.assertEqual(verdict, Verdict(kind, "op-1", DONE))

    def ask(self, kind):
        """Return an ask of instance one, made at NOW."""
        place = locate(CFG, self.key, NOW)
        return Ask(kind, self.key, place, "op-1", "f", "one", NOW + CFG.run_limit)


class TestWriter(unittest.TestCase):
    def test_reply_to_an_unknown_token_is_dropped(self):
        self.assertEqual(Writer(CFG, "one").receive("x", m.Missing(), NOW), ())


def read(value):
    """Read a value such as ``3 op-c op-b op-a``: revision, own and recent ids."""
    revision, *operations = value.split()
    return Stamp(int(revision), operations[0], tuple(operations[1:]))


class TestRank(unittest.TestCase):
    def test_only_the_tasks_of_the_one_that_left_move(self):
        members = [f"i-{n}" for n in range(20)]
        before = {task: rank(str(task), members)[0] for task in range(64)}
        after = {task: rank(str(task), members[1:])[0] for task in range(64)}
        moved = {task for task in before if before[task] != after[task]}
        self.assertEqual({before[task] for task in moved}, {"i-0"})
