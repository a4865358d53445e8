"""A mirror of a prefix: outages, dropped history, pages, answers that come late."""

import random
import unittest

from chervilwing.items import (
    Changes,
    HistoryGone,
    Item,
    ListItems,
    Page,
    Unavailable,
    WatchItems,
)
from chervilwing.mirrors import Mirror


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
        """Make the call that is due, answer it and return what changed."""
        self.call = self.mirror.next_call(sent)
        self.assertIsNotNone(self.call)
        return self.mirror.receive(reply, sent if at is None else at)

    def test_it_lists_all_pages_and_watches_from_the_first(self):
        # A change between two pages is in neither: watched from the second page's
        # revision it would never be seen.
        self.answer(Page((put("k1", 3),), 5, more=True), 0.0)
        self.assertEqual(self.call, ListItems("a/"))
        self.assertFalse(self.mirror.complete)
        self.answer(Page((put("k2", 4),), 9), 0.1)
        self.assertEqual(self.call, ListItems("a/", "a/k1"))
        self.assertTrue(self.mirror.complete)
        self.assertEqual(self.mirror.next_call(0.2), WatchItems("a/", 5, 1.0))

    def test_one_call_at_a_time(self):
        self.assertIsNotNone(self.mirror.next_call(0.0))
        self.assertIsNone(self.mirror.next_call(9.0))

    def test_knowledge_is_as_old_as_the_sending_of_its_call(self):
        # A key is taken away while an answer is on its way: counted from the answer's
        # arrival, the knowledge would look newer than the removal.
        self.answer(Page((), 5), 1.0, at=3.0)
        self.assertEqual(self.mirror.as_of, 1.0)
        self.answer(Changes((), 5), 4.0, at=5.0)
        self.assertEqual(self.mirror.as_of, 4.0)

    def test_an_older_change_never_replaces_a_newer_one(self):
        # A configuration would go back when a list from before it comes late.
        self.answer(Page((put("k", 8, b"new"),), 8), 0.0)
        changed = self.answer(Changes((put("k", 6, b"old"),), 8), 0.1)
        self.assertEqual(changed, [])
        self.assertEqual(self.mirror.items["a/k"].value, b"new")

    def test_dropped_history_is_listed_anew_and_finds_what_went(self):
        # The store forgets its history while an upstream leaves: no event ever tells.
        self.answer(Page((put("k1", 3), put("k2", 4)), 5), 0.0)
        self.answer(HistoryGone(), 0.1)
        changed = self.answer(Page((put("k2", 4),), 9), 0.2)
        self.assertEqual(self.call, ListItems("a/"))
        self.assertEqual(changed, [Item("a/k1", None, 9)])
        self.assertEqual(set(self.mirror.items), {"a/k2"})

    def test_an_outage_keeps_what_is_known_and_waits_longer_each_time(self):
        self.answer(Page((put("k", 3),), 5), 0.0)
        waits, now = [], 0.0
        for _ in range(6):
            self.answer(Unavailable("status 503"), now)
            before = now
            while self.mirror._due > now:
                now += 0.01
            waits.append(now - before)
        self.assertGreater(waits[3], waits[0])
        self.assertLess(max(waits), 1.6)
        self.assertEqual(self.mirror.lost_since, 0.0)
        self.assertEqual(set(self.mirror.items), {"a/k"})
        self.answer(Changes((), 6), now)
        self.assertIsNone(self.mirror.lost_since)

    def test_changes_that_come_together_cost_one_call(self):
        # A wave takes ten upstreams within a moment; each change would wake every
        # instance, and each would ask the store ten times.
        mirror = self.mirror = Mirror("a/", 1.0, random.Random(1), spacing=0.25)
        self.answer(Page((), 5), 0.0)
        self.answer(Changes((put("k1", 6),), 6), 0.1)
        self.assertIsNone(mirror.next_call(0.2))
        self.answer(Changes((put("k2", 7), put("k3", 8)), 8), 0.4)
        self.assertEqual(len(mirror.items), 3)

    def test_a_deletion_is_told_once(self):
        self.answer(Page((put("k", 3),), 5), 0.0)
        gone = Item("a/k", None, 7)
        self.assertEqual(self.answer(Changes((gone,), 7), 0.1), [gone])
        self.assertEqual(self.answer(Changes((gone,), 7), 0.2), [])


class TestNews(unittest.TestCase):
    """One mirror watches, the other learns from it."""

    def setUp(self):
        self.watching, self.learning = make_mirror(), make_mirror()
        for mirror in (self.watching, self.learning):
            mirror.next_call(0.0)
            mirror.receive(Page((put("k", 3),), 5), 0.0)
        self.learning.resting = True

    def watch(self, items, revision, now):
        """Let the watching mirror hear of changes."""
        self.watching.next_call(now)
        return self.watching.receive(Changes(tuple(items), revision), now)

    def learn(self, asked_at, now, told_at=None):
        """Ask the watching mirror; return what changed."""
        told_at = asked_at if told_at is None else told_at
        news = self.watching.tell(self.learning.revision, told_at)
        self.news = news
        return self.learning.learn(news, asked_at, now)

    def test_a_resting_mirror_makes_no_calls_and_hears_of_changes(self):
        self.assertIsNone(self.learning.next_call(1.0))
        self.watch([put("k2", 7), Item("a/k", None, 8)], 9, 1.0)
        changed = self.learn(1.5, 1.6)
        self.assertEqual(changed, [put("k2", 7), Item("a/k", None, 8)])
        self.assertEqual(set(self.learning.items), {"a/k2"})
        self.assertEqual(self.learning.revision, 9)

    def test_knowledge_is_as_old_as_the_call_that_proved_it(self):
        # The watcher's call went out at 1.0; asked at 1.5 and answered after a freeze,
        # the answer is no proof for any later moment.
        self.watch([], 6, 1.0)
        self.learn(1.5, 9.0, told_at=1.6)
        self.assertAlmostEqual(self.learning.as_of, 0.9)
        self.assertLess(self.learning.as_of, self.watching.as_of)

    def test_older_news_never_bring_back_what_was_deleted(self):
        # The answer to an own watch was on its way when the news came.
        call = self.learning
        call.resting = False
        call.next_call(1.0)
        self.watch([put("k2", 7), Item("a/k2", None, 8)], 8, 1.0)
        self.learn(1.1, 1.1)
        self.assertEqual(call.receive(Changes((put("k2", 7),), 7), 1.2), [])
        self.assertEqual(set(call.items), {"a/k"})
        self.assertEqual(call.revision, 8)

    def test_what_is_too_large_is_listed_from_the_store(self):
        # A configuration of some hundred routes doesn't fit into a datagram.
        self.watch([put("k", 7, b"x" * 90_000)], 7, 1.0)
        self.assertEqual(self.learn(1.1, 1.1), [])
        self.assertIsNone(self.news.items)
        self.assertEqual(self.learning.next_call(1.2), ListItems("a/"))
        # What a question that was on its way still brings is no use before the list.
        self.assertEqual(self.learning.learn(self.news, 1.1, 1.3), [])
        changed = self.learning.receive(Page((put("k", 7, b"y"),), 7), 1.4)
        self.assertEqual(len(changed), 1)

    def test_one_whose_watch_was_cut_lists_what_it_cannot_be_told(self):
        # The store drops its history and cuts all watches. The leader is back first and
        # knows a new configuration that doesn't fit into a datagram; its follower, told
        # so, would rest on its word and keep the old configuration for good.
        self.learning.resting = False
        self.learning.next_call(1.0)
        self.learning.receive(Unavailable("cut"), 1.1)
        self.learning.resting = True
        self.watch([put("k", 7, b"x" * 90_000)], 7, 1.2)
        self.assertEqual(self.learn(1.3, 1.4), [])
        self.assertEqual(self.learning.next_call(2.0), ListItems("a/"))
        changed = self.learning.receive(Page((put("k", 7, b"y"),), 7), 2.1)
        self.assertEqual(changed, [put("k", 7, b"y")])
        self.assertIsNone(self.learning.next_call(3.0))

    def test_what_another_tells_while_the_store_is_asked_counts(self):
        # The list is on its way to a store that can't be reached; it comes late, with
        # an item that was deleted since.
        self.learning.resting = False
        late = make_mirror()
        late.next_call(1.0)
        late.receive(Page((put("k", 3), put("k2", 7, b"x" * 90_000)), 9), 1.0)
        self.learning.learn(late.tell(self.learning.revision, 1.0), 1.0, 1.0)
        self.assertEqual(self.learning.next_call(1.1), ListItems("a/"))
        self.watch([Item("a/k", None, 8), put("k2", 7)], 9, 1.2)
        self.assertEqual(len(self.learn(1.3, 1.4)), 2)
        self.learning.receive(Page((put("k", 3),), 6), 2.0)
        self.assertEqual(set(self.learning.items), {"a/k2"})
        self.assertEqual(self.learning.revision, 9)

    def test_one_without_the_store_keeps_what_it_knows_for_those_who_know_more(self):
        # A leader loses the store and asks its followers. The one that started last
        # doesn't know what changed before; having dropped its own state for that, the
        # leader could take nothing from the others either, and would refuse all
        # callers until it reaches the store again.
        self.learning.resting = False
        self.learning.next_call(1.0)
        self.learning.receive(Unavailable("cut"), 1.1)
        self.watch([put("k2", 7)], 9, 1.0)
        started_last = make_mirror()
        started_last.next_call(1.0)
        started_last.receive(Page((put("k", 3), put("k2", 7)), 9), 1.0)
        started_last.items["a/k2"] = put("k2", 7, b"x" * 90_000)
        news = started_last.tell(self.learning.revision, 1.2)
        self.assertIsNone(news.items)
        self.assertEqual(self.learning.learn(news, 1.2, 1.3), [])
        self.assertEqual(self.learn(1.4, 1.5), [put("k2", 7)])
        self.assertEqual(self.learning.revision, 9)

    def test_a_wave_comes_in_several_pieces(self):
        # A data centre's upstreams leave at once; cut short, the rest would be kept.
        self.watch([put(f"k{n}", 10 + n, b"x" * 200) for n in range(40)], 60, 1.0)
        count, rounds = 0, 0
        while self.learning.revision < 60:
            count += len(self.learn(1.1, 1.1))
            rounds += 1
            self.assertEqual(self.news.more, self.learning.revision < 60)
        self.assertEqual(count, 40)
        self.assertGreater(rounds, 3)

    def test_what_was_written_together_is_told_together(self):
        items = [put("k1", 7, b"x" * 700), put("k2", 8, b"x"), put("k3", 8, b"x" * 700)]
        self.watch(items, 8, 1.0)
        self.assertEqual(self.learn(1.1, 1.1), items[:1])
        self.assertEqual(self.learn(1.2, 1.2), items[1:])

    def test_a_dropped_history_is_told_from_the_list(self):
        # The watcher listed anew and found that an upstream is gone.
        self.watching.next_call(1.0)
        self.watching.receive(HistoryGone(), 1.0)
        self.assertIsNone(self.watching.tell(5, 1.0))
        self.watching.next_call(1.1)
        self.watching.receive(Page((put("k2", 7),), 9), 1.1)
        changed = self.learn(1.2, 1.2)
        self.assertEqual(set(changed), {put("k2", 7), Item("a/k", None, 9)})

    def test_one_that_was_away_for_long_is_told_what_is_there(self):
        self.watch([put("gone", 8)], 8, 1.0)
        self.learn(1.0, 1.0)
        self.watch([Item("a/gone", None, 9)], 9, 1.0)
        for number in range(3000):
            self.watch([put("k", 10 + number)], 10 + number, 1.0)
        changed = self.learn(1.1, 1.1)
        gone = Item("a/gone", None, 3009)
        self.assertEqual(set(changed), {put("k", 3009), gone})
        self.assertEqual(self.learning.items, self.watching.items)

    def test_one_that_started_later_tells_an_older_one_what_is_there(self):
        # A leader starts first and loses the store a moment later. The others have
        # started after the last change that it knows; what was deleted before they
        # did, none of them has ever seen. It refused all callers until it reached the
        # store again, beside a whole group that knew better.
        self.watching, late = make_mirror(), self.learning
        late.items["a/gone"] = put("gone", 4)
        self.watching.next_call(1.0)
        self.watching.receive(Page((put("k", 3), put("k2", 7)), 9), 1.0)
        changed = self.learn(1.2, 1.3)
        self.assertEqual(changed, [put("k2", 7), Item("a/gone", None, 9)])
        self.assertEqual(late.items, self.watching.items)
        self.assertEqual(late.revision, 9)

    def test_it_is_told_in_pieces_what_does_not_fit(self):
        items = [put("k", 3)] + [put(f"n{n}", 10 + n, b"x" * 200) for n in range(40)]
        self.watching = make_mirror()
        self.watching.next_call(1.0)
        self.watching.receive(Page(tuple(items), 60), 1.0)
        self.learning.items["a/gone"] = put("gone", 4)
        for _ in items:
            self.learn(1.1, 1.1)
        self.assertEqual(self.learning.items, self.watching.items)

    def test_one_that_listed_anew_tells_of_what_it_never_saw(self):
        # An upstream came and went while its history was gone. One that knew it from
        # the store is told by another one that never did; it would keep it for good.
        self.watching.next_call(1.0)
        self.watching.receive(HistoryGone(), 1.0)
        self.watching.next_call(1.1)
        self.watching.receive(Page((put("k", 3),), 50), 1.1)
        self.learning.resting = False
        self.learning.next_call(1.0)
        self.learning.receive(Changes((put("short", 25),), 30), 1.0)
        self.assertEqual(self.learn(1.2, 1.2), [Item("a/short", None, 50)])

    def test_one_that_was_told_the_list_does_not_pass_off_its_changes_as_all(self):
        # A third one knows of an item that came and went in between.
        self.watching = make_mirror()
        self.watching.next_call(1.0)
        self.watching.receive(Page((put("k", 3),), 50), 1.0)
        self.learn(1.2, 1.2)
        third = make_mirror()
        third.next_call(0.5)
        third.receive(Page((put("k", 3), put("short", 25)), 30), 0.5)
        third.learn(self.learning.tell(third.revision, 1.3), 1.3, 1.3)
        self.assertEqual(set(third.items), {"a/k"})

    def test_more_keys_than_fit_are_listed_from_the_store(self):
        keys = [put(f"{n:0190}", 6) for n in range(1000)]
        self.watching = make_mirror()
        self.watching.next_call(1.0)
        self.watching.receive(Page(tuple(keys), 60), 1.0)
        self.assertEqual(self.learn(1.2, 1.2), [])
        self.assertIsNone(self.news.items)
        self.assertEqual(self.learning.next_call(1.3), ListItems("a/"))

    def test_the_return_of_the_store_is_told_with_its_time(self):
        # Upstreams whose entries lapsed with the store are kept until shortly after
        # its return, counted from there also where it was only told of.
        self.watching.next_call(1.0)
        self.watching.receive(Unavailable("status 503"), 1.0)
        self.watch([], 6, 5.0)
        self.learn(6.0, 6.1)
        self.assertAlmostEqual(self.learning.regained_at, 5.0)
