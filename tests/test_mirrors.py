"""A mirror of a prefix: outages, dropped history, pages, delayed replies."""

import random
import unittest

from chervilwing.mirrors import Mirror
from chervilwing.store_calls import (
    Changes,
    HistoryGone,
    Item,
    ListItems,
    Page,
    Unavailable,
    WatchItems,
)


def make_mirror():
    """Return an empty mirror."""
    return Mirror("a/", 1.0, random.Random(1))


def put(key, revision, value=b"x"):
    """Return an item under the prefix."""
    return Item("a/" + key, value, revision)


class TestMirror(unittest.TestCase):
    def setUp(self):
        self.mirror = make_mirror()

    def answer(self, reply, sent, at=None):
        """Make the call that is due, reply to it and return what changed."""
        self.call = self.mirror.next_call(sent)
        self.assertIsNotNone(self.call)
        return self.mirror.receive(reply, sent if at is None else at)

    def test_lists_all_pages_and_watches_from_the_first(self):
        # A change between two pages may be in neither; watched from the second page's
        # revision it would never be seen.
        self.answer(Page((put("k1", 3),), 5, more=True), 0.0)
        self.assertEqual(self.call, ListItems("a/"))
        self.assertFalse(self.mirror.complete)
        self.answer(Page((put("k2", 4),), 9), 0.1)
        self.assertEqual(self.call, ListItems("a/", "a/k1"))
        self.assertTrue(self.mirror.complete)
        self.assertEqual(self.mirror.next_call(0.2), WatchItems("a/", 5, 1.0))

    def test_makes_one_call_at_a_time(self):
        self.assertIsNotNone(self.mirror.next_call(0.0))
        self.assertIsNone(self.mirror.next_call(9.0))

    def test_age_counts_from_the_sending_of_the_call(self):
        # A key is revoked while a reply is in transit. Counted from the reply's
        # arrival, the knowledge would look newer than the revocation.
        self.answer(Page((), 5), 1.0, at=3.0)
        self.assertEqual(self.mirror.as_of, 1.0)
        self.answer(Changes((), 5), 4.0, at=5.0)
        self.assertEqual(self.mirror.as_of, 4.0)

    def test_older_change_never_replaces_a_newer_one(self):
        # A reply with an older configuration may arrive late; it must not replace the
        # newer one.
        self.answer(Page((put("k", 8, b"new"),), 8), 0.0)
        changed = self.answer(Changes((put("k", 6, b"old"),), 8), 0.1)
        self.assertEqual(changed, [])
        self.assertEqual(self.mirror.items["a/k"].value, b"new")

    def test_listing_after_dropped_history_finds_deletions(self):
        # The store drops its history while an upstream leaves, so that no watch ever
        # reports the deletion.
        self.answer(Page((put("k1", 3), put("k2", 4)), 5), 0.0)
        self.answer(HistoryGone(), 0.1)
        changed = self.answer(Page((put("k2", 4),), 9), 0.2)
        self.assertEqual(self.call, ListItems("a/"))
        self.assertEqual(changed, [Item("a/k1", None, 9)])
        self.assertEqual(set(self.mirror.items), {"a/k2"})

    def test_outage_keeps_items_and_backs_off(self):
        self.answer(Page((put("k", 3),), 5), 0.0)
        waits, now = [], 0.0
        for _ in range(6):
            self.answer(Unavailable("status 503"), now)
            before = now
            while self.mirror._next_call_at > now:
                now += 0.01
            waits.append(now - before)
        self.assertGreater(waits[3], waits[0])
        self.assertLess(max(waits), 1.6)
        self.assertEqual(self.mirror.lost_since, 0.0)
        self.assertEqual(set(self.mirror.items), {"a/k"})
        self.answer(Changes((), 6), now)
        self.assertIsNone(self.mirror.lost_since)

    def test_changes_that_come_together_cost_one_call(self):
        # A reclaim wave takes ten upstreams at once. If each change woke every
        # instance, each would make ten calls.
        mirror = self.mirror = Mirror("a/", 1.0, random.Random(1), spacing=0.25)
        self.answer(Page((), 5), 0.0)
        self.answer(Changes((put("k1", 6),), 6), 0.1)
        self.assertIsNone(mirror.next_call(0.2))
        self.answer(Changes((put("k2", 7), put("k3", 8)), 8), 0.4)
        self.assertEqual(len(mirror.items), 3)

    def test_deletion_is_returned_once(self):
        self.answer(Page((put("k", 3),), 5), 0.0)
        gone = Item("a/k", None, 7)
        self.assertEqual(self.answer(Changes((gone,), 7), 0.1), [gone])
        self.assertEqual(self.answer(Changes((gone,), 7), 0.2), [])


class TestNews(unittest.TestCase):
    """One mirror watches the store, the other applies its news."""

    def setUp(self):
        self.watching, self.learning = make_mirror(), make_mirror()
        for mirror in (self.watching, self.learning):
            mirror.next_call(0.0)
            mirror.receive(Page((put("k", 3),), 5), 0.0)
        self.learning.passive = True

    def watch(self, items, revision, now):
        """Let the watching mirror receive changes."""
        self.watching.next_call(now)
        return self.watching.receive(Changes(tuple(items), revision), now)

    def apply_news(self, queried_at, now, made_at=None):
        """Query the watching mirror; return what changed."""
        made_at = queried_at if made_at is None else made_at
        news = self.watching.make_news(self.learning.revision, made_at)
        self.news = news
        return self.learning.apply_news(news, queried_at, now)

    def test_passive_mirror_makes_no_calls_and_applies_news(self):
        self.assertIsNone(self.learning.next_call(1.0))
        self.watch([put("k2", 7), Item("a/k", None, 8)], 9, 1.0)
        changed = self.apply_news(1.5, 1.6)
        self.assertEqual(changed, [put("k2", 7), Item("a/k", None, 8)])
        self.assertEqual(set(self.learning.items), {"a/k2"})
        self.assertEqual(self.learning.revision, 9)

    def test_age_counts_from_the_call_that_proved_it(self):
        # The watching mirror's call was sent at 1.0. A query at 1.5 gets its reply
        # after a freeze; the reply proves nothing about later times.
        self.watch([], 6, 1.0)
        self.apply_news(1.5, 9.0, made_at=1.6)
        self.assertAlmostEqual(self.learning.as_of, 0.9)
        self.assertLess(self.learning.as_of, self.watching.as_of)

    def test_late_reply_restores_no_deleted_item(self):
        # The reply to the mirror's own watch was in transit when newer news arrived.
        mirror = self.learning
        mirror.passive = False
        mirror.next_call(1.0)
        self.watch([put("k2", 7), Item("a/k2", None, 8)], 8, 1.0)
        self.apply_news(1.1, 1.1)
        self.assertEqual(mirror.receive(Changes((put("k2", 7),), 7), 1.2), [])
        self.assertEqual(set(mirror.items), {"a/k"})
        self.assertEqual(mirror.revision, 8)

    def test_too_large_changes_are_listed_from_the_store(self):
        # A configuration of some hundred routes doesn't fit into a datagram.
        self.watch([put("k", 7, b"x" * 90_000)], 7, 1.0)
        self.assertEqual(self.apply_news(1.1, 1.1), [])
        self.assertIsNone(self.news.items)
        self.assertEqual(self.learning.next_call(1.2), ListItems("a/"))
        # News that arrive during the listing can't replace the list.
        self.assertEqual(self.learning.apply_news(self.news, 1.1, 1.3), [])
        changed = self.learning.receive(Page((put("k", 7, b"y"),), 7), 1.4)
        self.assertEqual(len(changed), 1)

    def test_a_stale_list_is_repeated_unless_it_has_what_the_leader_knows(self):
        # Guards against an old configuration that a cheap, outdated list brings back.
        mirror, as_of = self.learning, self.learning.as_of
        mirror.lists_may_be_stale = True
        self.watch([put("k", 7, b"x" * 90_000)], 7, 1.0)
        self.apply_news(1.1, 1.1)
        self.assertEqual(mirror.next_call(1.2), ListItems("a/", stale=True))
        self.assertEqual(mirror.receive(Page((put("k", 3),), 6), 1.3), [])
        self.assertEqual(mirror.next_call(1.4), ListItems("a/"))
        changed = mirror.receive(Page((put("k", 7, b"y"),), 7), 1.5)
        self.assertEqual((len(changed), mirror.as_of), (1, 1.4))
        self.watch([put("k", 9, b"x" * 90_000)], 9, 1.6)
        self.apply_news(1.7, 1.7)
        mirror.next_call(1.8)
        self.assertEqual(len(mirror.receive(Page((put("k", 9, b"z"),), 9), 1.9)), 1)
        self.assertGreater(mirror.as_of, as_of)
        self.assertLess(mirror.as_of, 1.8)

    def test_follower_lists_what_is_too_large_for_news(self):
        # The store drops its history and cuts all watches. The leader recovers first
        # and has a new configuration that doesn't fit into a datagram. A follower that
        # relied on the leader's news would keep the old configuration for good.
        self.learning.passive = False
        self.learning.next_call(1.0)
        self.learning.receive(Unavailable("cut"), 1.1)
        self.learning.passive = True
        self.watch([put("k", 7, b"x" * 90_000)], 7, 1.2)
        self.assertEqual(self.apply_news(1.3, 1.4), [])
        self.assertEqual(self.learning.next_call(2.0), ListItems("a/"))
        changed = self.learning.receive(Page((put("k", 7, b"y"),), 7), 2.1)
        self.assertEqual(changed, [put("k", 7, b"y")])
        self.assertIsNone(self.learning.next_call(3.0))

    def test_news_during_a_listing_are_kept(self):
        # The mirror has sent a list call to the store. The reply comes late, with an
        # item that was deleted since; it must not undo newer news.
        self.learning.passive = False
        late = make_mirror()
        late.next_call(1.0)
        late.receive(Page((put("k", 3), put("k2", 7, b"x" * 90_000)), 9), 1.0)
        self.learning.apply_news(late.make_news(self.learning.revision, 1.0), 1.0, 1.0)
        self.assertEqual(self.learning.next_call(1.1), ListItems("a/"))
        self.watch([Item("a/k", None, 8), put("k2", 7)], 9, 1.2)
        self.assertEqual(len(self.apply_news(1.3, 1.4)), 2)
        self.learning.receive(Page((put("k", 3),), 6), 2.0)
        self.assertEqual(set(self.learning.items), {"a/k2"})
        self.assertEqual(self.learning.revision, 9)

    def test_unusable_news_leave_the_items_unchanged(self):
        # A leader loses the store and queries its followers. The follower that started
        # last doesn't have the earlier changes. If the leader dropped its own state
        # because of that, it couldn't apply the other followers' news either, and would
        # refuse all callers until it reaches the store again.
        self.learning.passive = False
        self.learning.next_call(1.0)
        self.learning.receive(Unavailable("cut"), 1.1)
        self.watch([put("k2", 7)], 9, 1.0)
        started_last = make_mirror()
        started_last.next_call(1.0)
        started_last.receive(Page((put("k", 3), put("k2", 7)), 9), 1.0)
        started_last.items["a/k2"] = put("k2", 7, b"x" * 90_000)
        news = started_last.make_news(self.learning.revision, 1.2)
        self.assertIsNone(news.items)
        self.assertEqual(self.learning.apply_news(news, 1.2, 1.3), [])
        self.assertEqual(self.apply_news(1.4, 1.5), [put("k2", 7)])
        self.assertEqual(self.learning.revision, 9)

    def test_many_changes_are_sent_in_several_news(self):
        # A data centre's upstreams leave at once. If the news lacked some of these
        # changes, the upstreams concerned would be kept.
        self.watch([put(f"k{n}", 10 + n, b"x" * 200) for n in range(40)], 60, 1.0)
        count, rounds = 0, 0
        while self.learning.revision < 60:
            count += len(self.apply_news(1.1, 1.1))
            rounds += 1
            self.assertEqual(self.news.more, self.learning.revision < 60)
        self.assertEqual(count, 40)
        self.assertGreater(rounds, 3)

    def test_changes_of_one_commit_are_sent_together(self):
        items = [put("k1", 7, b"x" * 700), put("k2", 8, b"x"), put("k3", 8, b"x" * 700)]
        self.watch(items, 8, 1.0)
        self.assertEqual(self.apply_news(1.1, 1.1), items[:1])
        self.assertEqual(self.apply_news(1.2, 1.2), items[1:])

    def test_news_after_a_new_listing_include_deletions(self):
        # The watching mirror listed anew and found that an upstream is gone.
        self.watching.next_call(1.0)
        self.watching.receive(HistoryGone(), 1.0)
        self.assertIsNone(self.watching.make_news(5, 1.0))
        self.watching.next_call(1.1)
        self.watching.receive(Page((put("k2", 7),), 9), 1.1)
        changed = self.apply_news(1.2, 1.2)
        self.assertEqual(set(changed), {put("k2", 7), Item("a/k", None, 9)})

    def test_long_outdated_mirror_gets_the_present_items(self):
        self.watch([put("gone", 8)], 8, 1.0)
        self.apply_news(1.0, 1.0)
        self.watch([Item("a/gone", None, 9)], 9, 1.0)
        for number in range(3000):
            self.watch([put("k", 10 + number)], 10 + number, 1.0)
        changed = self.apply_news(1.1, 1.1)
        gone = Item("a/gone", None, 3009)
        self.assertEqual(set(changed), {put("k", 3009), gone})
        self.assertEqual(self.learning.items, self.watching.items)

    def test_later_started_mirror_updates_an_older_one(self):
        # A leader starts first and loses the store a moment later. All others started
        # after its last known change and have never seen the items deleted before that.
        # If their news were of no use to it, the leader would refuse all callers until
        # it reaches the store again, although its whole group has fresh knowledge.
        self.watching, late = make_mirror(), self.learning
        late.items["a/gone"] = put("gone", 4)
        self.watching.next_call(1.0)
        self.watching.receive(Page((put("k", 3), put("k2", 7)), 9), 1.0)
        changed = self.apply_news(1.2, 1.3)
        self.assertEqual(changed, [put("k2", 7), Item("a/gone", None, 9)])
        self.assertEqual(late.items, self.watching.items)
        self.assertEqual(late.revision, 9)

    def test_present_items_are_sent_in_several_news(self):
        items = [put("k", 3)] + [put(f"n{n}", 10 + n, b"x" * 200) for n in range(40)]
        self.watching = make_mirror()
        self.watching.next_call(1.0)
        self.watching.receive(Page(tuple(items), 60), 1.0)
        self.learning.items["a/gone"] = put("gone", 4)
        for _ in items:
            self.apply_news(1.1, 1.1)
        self.assertEqual(self.learning.items, self.watching.items)

    def test_deletion_unknown_to_the_sender_is_found(self):
        # An upstream was registered and removed while the watching mirror's history was
        # gone. Another instance saw the upstream in the store. It gets news from the
        # watching instance, which never saw it, and would keep the upstream for good.
        self.watching.next_call(1.0)
        self.watching.receive(HistoryGone(), 1.0)
        self.watching.next_call(1.1)
        self.watching.receive(Page((put("k", 3),), 50), 1.1)
        self.learning.passive = False
        self.learning.next_call(1.0)
        self.learning.receive(Changes((put("short", 25),), 30), 1.0)
        self.assertEqual(self.apply_news(1.2, 1.2), [Item("a/short", None, 50)])

    def test_changes_before_an_applied_list_are_not_sent_as_complete(self):
        # The watching mirror listed the store after an item had been created and
        # deleted, so it never saw that item. A third mirror still has it; news from the
        # second must make it drop the item.
        self.watching = make_mirror()
        self.watching.next_call(1.0)
        self.watching.receive(Page((put("k", 3),), 50), 1.0)
        self.apply_news(1.2, 1.2)
        third = make_mirror()
        third.next_call(0.5)
        third.receive(Page((put("k", 3), put("short", 25)), 30), 0.5)
        third.apply_news(self.learning.make_news(third.revision, 1.3), 1.3, 1.3)
        self.assertEqual(set(third.items), {"a/k"})

    def test_too_many_keys_are_listed_from_the_store(self):
        keys = [put(f"{n:0190}", 6) for n in range(1000)]
        self.watching = make_mirror()
        self.watching.next_call(1.0)
        self.watching.receive(Page(tuple(keys), 60), 1.0)
        self.assertEqual(self.apply_news(1.2, 1.2), [])
        self.assertIsNone(self.news.items)
        self.assertEqual(self.learning.next_call(1.3), ListItems("a/"))

    def test_news_include_when_the_store_was_regained(self):
        # Upstreams whose entries lapsed with the store are kept until shortly after its
        # return. An instance that learns of the return from another one must count from
        # the same time.
        self.watching.next_call(1.0)
        self.watching.receive(Unavailable("status 503"), 1.0)
        self.watch([], 6, 5.0)
        self.apply_news(6.0, 6.1)
        self.assertAlmostEqual(self.learning.regained_at, 5.0)
