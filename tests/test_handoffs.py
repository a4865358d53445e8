"""Tests of hand-overs between entry instances, without sockets."""

import unittest

from chervilwing import handoffs
from chervilwing.exceptions import BadFrame
from chervilwing.frames import MAX_FRAME, Frame, encode
from chervilwing.handoffs import (
    MAX_OFFERS,
    MAX_SEARCH_PEERS,
    MAX_TRANSFERS,
    RECEIPT_TIMEOUT,
    SEARCH_TIMEOUT,
    STATE_LIMIT,
    Delivered,
    Inbox,
    Key,
    Moved,
    NotFound,
    Outbox,
    Part,
    Recall,
    Receipt,
    Received,
    Searches,
    Seek,
    State,
    Undelivered,
    Unheld,
    choose_recipients,
    choose_search_peers,
    pack_state,
    unpack_state,
)
from chervilwing.messages import Forward
from chervilwing.wire import rebuild

KEY = Key("andesur", "req-1", "0f")
LIVE = {f"e{number}": "abc"[number % 3] for number in range(9)}


def make_state(prompt="history", tokens=(" ba", " de")):
    """Return the state of a request, by default with two tokens."""
    return State(KEY, "memo", prompt, 8, True, False, "memo", 1, tokens, 0, 2.5)


def exchange_messages(outbox, inbox, actions, now=0.0):
    """Pass parts and receipts until none is left; return the other actions."""
    results = []
    while actions:
        action = actions.pop(0)
        if not isinstance(action, Forward):
            results.append(action)
            continue
        kind = type(action.message)
        message = rebuild(kind, [*action.message])
        if kind is Part:
            actions += inbox.receive("one", message, now)
        else:
            actions += outbox.receive("two", message, now)
    return results


class TestStates(unittest.TestCase):
    def test_a_state_of_any_size_arrives_unchanged(self):
        for size in (0, 1, 50_000, 1_000_000):
            state = make_state("x" * size)
            outbox, inbox = Outbox(), Inbox(4_000_000)
            actions = outbox.begin("t", pack_state(state), ("two",), 0.0)
            (received,) = exchange_messages(outbox, inbox, actions)
            self.assertEqual(received.state, state)
            self.assertEqual(inbox.size, 0)
            receipt = Receipt("t", received.number, True)
            self.assertEqual(
                outbox.receive("two", receipt, 0.0), [Delivered("t", "two")]
            )
            self.assertEqual(outbox.count(), 0)

    def test_each_part_fits_in_a_frame(self):
        parts = pack_state(make_state("x" * 1_900_000))
        for number, data in enumerate(parts):
            body = ["Part", list(Part("t" * 64, number, len(parts), data))]
            self.assertLess(len(encode(Frame("message", body))), MAX_FRAME)

    def test_a_state_over_the_limit_is_not_sent(self):
        self.assertIsNone(pack_state(make_state("x" * STATE_LIMIT)))

    def test_invalid_data_raises_bad_frame(self):
        for data in (b"", b"\xc1", b"\x01", b"\x92\x01\x02"):
            with self.subTest(data=data), self.assertRaises(BadFrame):
                unpack_state([data])


class TestOutbox(unittest.TestCase):
    def test_the_next_peer_is_tried_after_a_dead_or_full_one(self):
        # The first peer has died and the second has no room. Unless the state is
        # offered to the third, the request is lost with its instance.
        outbox = Outbox()
        outbox.begin("t", [b"a"], ("dead", "full", "three"), 0.0)
        (sent,) = outbox.tick(RECEIPT_TIMEOUT + 0.1)
        self.assertEqual(sent.instance, "full")
        (sent,) = outbox.receive("full", Receipt("t", 0, False), 1.0)
        self.assertEqual(sent.instance, "three")
        recall = outbox.receive("dead", Receipt("t", 0, True), 1.0)
        # The peer was frozen and accepted the state late, after it was offered to
        # others.
        self.assertEqual(recall, [Forward("dead", Recall("t"))])
        results = outbox.tick(1.0 + 2 * RECEIPT_TIMEOUT)
        self.assertEqual((results, outbox.count()), ([Undelivered("t")], 0))

    def test_many_states_are_sent_a_limited_number_at_a_time(self):
        outbox, sent = Outbox(), []
        for number in range(500):
            sent += outbox.begin(str(number), [b"a"], ("two",), 0.0)
        self.assertEqual(len(sent), MAX_TRANSFERS)
        while sent:
            part = sent.pop(0).message
            actions = outbox.receive("two", Receipt(part.transfer, 0, True), 0.0)
            sent += [item for item in actions if isinstance(item, Forward)]
            self.assertLessEqual(len(sent), MAX_TRANSFERS)
        self.assertEqual(outbox.count(), 0)


class TestInbox(unittest.TestCase):
    def is_refused(self, actions):
        return [action.message.taken for action in actions] == [False]

    def test_parts_out_of_place_or_over_the_limit_are_refused(self):
        inbox = Inbox(100)
        self.assertTrue(
            self.is_refused(inbox.receive("one", Part("t", 1, 3, b"a"), 0.0))
        )
        inbox.receive("one", Part("t", 0, 3, b"a" * 60), 0.0)
        # Transfers of different senders are separate even with the same id.
        self.assertTrue(
            self.is_refused(inbox.receive("two", Part("t", 1, 3, b"a"), 0.0))
        )
        self.assertTrue(
            self.is_refused(inbox.receive("one", Part("t", 1, 3, b"a" * 60), 0.0))
        )
        self.assertTrue(
            self.is_refused(inbox.receive("one", Part("t", 0, 10**6, b"a"), 0.0))
        )
        self.assertEqual(inbox.size, 0)

    def test_parts_of_a_dead_sender_are_dropped(self):
        inbox = Inbox(100)
        inbox.receive("one", Part("t", 0, 3, b"a" * 60), 0.0)
        inbox.tick(0.1)
        self.assertEqual(inbox.size, 60)
        inbox.tick(10.0)
        self.assertEqual(inbox.size, 0)

    def test_a_restarted_transfer_completes(self):
        inbox, parts = Inbox(10**6), pack_state(make_state("x" * 60_000))
        inbox.receive("one", Part("t", 0, 2, parts[0]), 0.0)
        inbox.receive("one", Part("t", 0, 2, parts[0]), 1.0)
        (received,) = inbox.receive("one", Part("t", 1, 2, parts[1]), 1.0)
        self.assertIsInstance(received, Received)


class TestPeerChoice(unittest.TestCase):
    def test_recipients_in_other_data_centres_come_first(self):
        recipients = choose_recipients(KEY, LIVE, "a")
        self.assertEqual(len(recipients), MAX_OFFERS)
        self.assertNotIn("a", {LIVE[name] for name in recipients})
        same_data_centre = {name: "a" for name in LIVE}
        self.assertEqual(len(choose_recipients(KEY, same_data_centre, "a")), MAX_OFFERS)
        self.assertEqual(choose_recipients(KEY, {}, "a"), ())

    def test_the_holder_is_one_of_the_first_two_search_peers(self):
        # A caller may reconnect to any of hundreds of instances. That instance must
        # find the holder without asking all others.
        fleet = {f"n{number}": f"dc{number % 10}" for number in range(320)}
        for number in range(50):
            key = KEY._replace(request_id=str(number))
            for centre in ("dc0", "dc3"):
                holder = choose_recipients(key, fleet, centre)[0]
                peers = choose_search_peers(key, fleet, ())
                self.assertIn(holder, peers[:2])
                self.assertEqual(len(peers), MAX_SEARCH_PEERS)


class TestSearches(unittest.TestCase):
    def test_ends_when_all_peers_have_replied_or_at_the_timeout(self):
        searches = Searches()
        sent = searches.begin("s", KEY, ("two", "three"), 0.0)
        self.assertEqual(sent[0], Forward("two", Seek("s", KEY)))
        self.assertEqual(searches.receive("two", Unheld("s"), 0.1), [])
        self.assertEqual(searches.receive("three", Unheld("s"), 0.1), [NotFound("s")])
        self.assertEqual(searches.receive("three", Unheld("s"), 0.1), [])
        searches.begin("s", KEY, ("dead",), 0.0)
        self.assertEqual(searches.tick(SEARCH_TIMEOUT + 0.1), [NotFound("s")])
        self.assertEqual(searches.begin("s", KEY, (), 0.0), [NotFound("s")])

    def test_follows_a_moved_state_without_endless_redirects(self):
        searches = Searches()
        searches.begin("s", KEY, ("two",), 0.0)
        sent = searches.redirect("two", Moved("s", "three"), 0.1)
        self.assertEqual(sent, [Forward("three", Seek("s", KEY))])
        sent = searches.redirect("three", Moved("s", "two"), 0.2)
        self.assertEqual(sent, [Forward("two", Seek("s", KEY))])
        self.assertEqual(
            searches.redirect("two", Moved("s", "three"), 0.3), [NotFound("s")]
        )

    def test_parts_of_the_state_extend_the_timeout(self):
        searches = Searches()
        searches.begin("s", KEY, ("two",), 0.0)
        searches.extend("s", SEARCH_TIMEOUT)
        self.assertEqual(searches.tick(SEARCH_TIMEOUT + 0.1), [])
        searches.finish("s")
        self.assertEqual(searches.tick(99.0), [])

    def test_a_single_instance_has_no_search_peers(self):
        self.assertEqual(handoffs.choose_search_peers(KEY, {}, ()), ())
