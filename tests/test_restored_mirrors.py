"""Mirrors of a store that returns from a copy: histories, lost items, news, delays."""

import random
import unittest

from chervilwing.holds import RESTORED_REGISTRATION_HOLD, hold_registration
from chervilwing.mirrors import Mirror
from chervilwing.store_calls import (
    Changes,
    HistoryGone,
    Item,
    ListItems,
    Page,
    WatchItems,
)
from chervilwing.store_epochs import StoreEpochs, get_epoch, get_number, make_revision

HOLD = 5.0


def put(key, epoch, number, value=b"x"):
    """Return an item under the prefix."""
    return Item("a/" + key, value, make_revision(epoch, number))


def delete(key, epoch, number):
    """Return the deletion of an item."""
    return put(key, epoch, number, None)


def make_mirror(*items, epoch=1, number=50, hold=HOLD):
    """Return a mirror that has listed these items."""
    compute_hold = lambda key, known, lost: hold
    mirror = Mirror("a/", 1.0, random.Random(1), compute_hold=compute_hold)
    mirror.next_call(0.0)
    mirror.receive(Page(items, make_revision(epoch, number)), 0.0)
    return mirror


def watch(mirror, items, epoch, number, now=1.0):
    """Let a mirror receive the reply to its watch; return what changed."""
    call = mirror.next_call(now)
    assert isinstance(call, WatchItems), call
    return mirror.receive(Changes(tuple(items), make_revision(epoch, number)), now)


def relist(mirror, items, epoch, number, now=2.0):
    """Let a mirror list a restored store; return what changed."""
    call = mirror.next_call(now)
    assert isinstance(call, ListItems), call
    return mirror.receive(Page(tuple(items), make_revision(epoch, number)), now)


class TestRevisions(unittest.TestCase):
    def test_revisions_of_later_epochs_are_later(self):
        self.assertLess(make_revision(1, 900), make_revision(2, 3))
        self.assertEqual(get_epoch(make_revision(7, 12)), 7)
        self.assertEqual(get_number(make_revision(7, 12)), 12)
        self.assertEqual(make_revision(0, 12), 12)

    def test_epochs_never_go_back(self):
        epochs, seen = StoreEpochs(), []
        epochs.subscribe(seen.append)
        known = [epochs.note(epoch) for epoch in (1, 1, 3, 2, 3)]
        self.assertEqual(known, [True, True, True, False, True])
        self.assertEqual(seen, [1, 3])


class TestRestoredStore(unittest.TestCase):
    def test_a_change_with_a_lower_number_is_taken(self):
        mirror = make_mirror(put("k", 1, 45, b"v13"))
        watch(mirror, [put("k", 1, 55, b"v17")], 1, 58)
        mirror.next_call(1.0)
        mirror.receive(HistoryGone(2), 1.0)
        self.assertEqual(relist(mirror, [put("k", 2, 45, b"v13")], 2, 49), [])
        new = put("k", 2, 52, b"v19")
        self.assertEqual(watch(mirror, [new], 2, 52, 3.0), [new])
        self.assertEqual(mirror.in_force["a/k"], new)

    def test_a_watch_that_no_410_answers_lists_the_store(self):
        # The numbers given out again have passed the watched one; the watch's reply
        # lacks all writes below it.
        mirror = make_mirror(put("k", 1, 45), number=50)
        self.assertEqual(watch(mirror, [put("k", 2, 61)], 2, 61), [])
        missed = put("k2", 2, 49)
        self.assertIn(missed, relist(mirror, [put("k", 2, 61), missed], 2, 62))

    def test_a_watch_from_before_skips_nothing_after_news_of_the_return(self):
        # The watch was sent in the first epoch; meanwhile news of the second arrive.
        # The reply holds what is later than the first epoch's number only.
        mirror, other = make_mirror(number=60), make_mirror(epoch=2, number=40)
        mirror.next_call(1.0)
        mirror.apply_news(other.make_news(mirror.revision, 1.1), 1.1, 1.1)
        mirror.receive(Changes((put("k", 2, 61),), make_revision(2, 61)), 1.2)
        self.assertEqual(mirror.revision, make_revision(2, 40))

    def test_pages_of_two_epochs_are_not_joined(self):
        mirror = Mirror("a/", 1.0, random.Random(1))
        mirror.next_call(0.0)
        first = Page((put("k1", 1, 3),), make_revision(1, 5), more=True)
        mirror.receive(first, 0.0)
        mirror.next_call(0.1)
        mirror.receive(Page((put("k3", 2, 4),), make_revision(2, 4)), 0.1)
        self.assertFalse(mirror.complete)
        self.assertEqual(mirror.next_call(0.2), ListItems("a/"))

    def test_a_list_from_before_the_return_changes_nothing(self):
        mirror = make_mirror(put("k", 1, 45))
        watch(mirror, [], 2, 60)
        self.assertEqual(relist(mirror, [put("k", 1, 45)], 1, 60), [])
        self.assertEqual(relist(mirror, [put("k", 2, 45)], 2, 60), [])
        self.assertEqual(mirror.revision, make_revision(2, 60))

    def test_a_confirmed_change_is_held_until_it_is_written_again(self):
        mirror = make_mirror(put("k", 1, 45, b"old"))
        watch(mirror, [put("k", 1, 55, b"new")], 1, 58)
        watch(mirror, [], 2, 49)
        self.assertEqual(relist(mirror, [put("k", 2, 45, b"old")], 2, 49), [])
        self.assertEqual(mirror.in_force["a/k"].value, b"new")
        again = put("k", 2, 53, b"newer")
        self.assertEqual(watch(mirror, [again], 2, 53, 3.0), [again])
        self.assertEqual(mirror.expire_held(99.0), [])

    def test_a_write_after_the_return_holds_even_where_the_list_has_it(self):
        mirror = make_mirror(put("k", 1, 45, b"old"))
        watch(mirror, [put("k", 1, 55, b"new")], 1, 58)
        watch(mirror, [], 2, 52)
        again = put("k", 2, 51, b"other")
        self.assertEqual(relist(mirror, [again], 2, 52), [again])

    def test_an_item_that_the_store_lost_is_held_for_its_time(self):
        mirror = make_mirror()
        watch(mirror, [put("k", 1, 55)], 1, 58)
        watch(mirror, [], 2, 49)
        self.assertEqual(relist(mirror, [], 2, 49), [])
        self.assertIn("a/k", mirror.in_force)
        self.assertEqual(mirror.expire_held(2.0 + HOLD - 0.1), [])
        gone = mirror.expire_held(2.0 + HOLD)
        self.assertEqual([(item.key, item.value) for item in gone], [("a/k", None)])

    def test_a_deleted_item_that_returns_stays_deleted_for_its_time(self):
        # An upstream's removal was acknowledged and is in no copy; its old entry is.
        mirror = make_mirror(put("k", 1, 45))
        watch(mirror, [delete("k", 1, 55)], 1, 58)
        watch(mirror, [], 2, 49)
        back = put("k", 2, 45)
        self.assertEqual(relist(mirror, [back], 2, 49), [])
        self.assertNotIn("a/k", mirror.in_force)
        self.assertEqual(mirror.expire_held(2.0 + HOLD), [back])

    def test_a_returned_item_that_lapses_is_reported_by_nobody(self):
        mirror = make_mirror(put("k", 1, 45))
        watch(mirror, [delete("k", 1, 55)], 1, 58)
        watch(mirror, [], 2, 49)
        relist(mirror, [put("k", 2, 45)], 2, 49)
        self.assertEqual(watch(mirror, [delete("k", 2, 50)], 2, 50, 3.0), [])
        self.assertEqual(mirror.expire_held(99.0), [])

    def test_several_returns_follow_each_other(self):
        mirror = make_mirror(put("k", 1, 45, b"old"))
        watch(mirror, [put("k", 1, 55, b"new")], 1, 58)
        for epoch in (2, 3, 4):
            watch(mirror, [], epoch, 48)
            relist(mirror, [put("k", epoch, 45, b"old")], epoch, 48, 2.0)
            self.assertEqual(mirror.in_force["a/k"].value, b"new")
        again = put("k", 4, 49, b"newer")
        self.assertEqual(watch(mirror, [again], 4, 49, 3.0), [again])

    def test_the_return_counts_as_a_regained_store(self):
        # The store was away for less time than the detection of its loss takes;
        # upstreams that couldn't renew their entries would be dropped at once.
        mirror = make_mirror()
        watch(mirror, [], 2, 49)
        relist(mirror, [], 2, 49, 2.0)
        self.assertEqual(mirror.regained_at, 2.0)


class TestRegistrations(unittest.TestCase):
    """Registrations of upstreams in a store that returned from a copy."""

    def restore(self, *writes):
        """Return a mirror that saw these writes and then the first of them again."""
        first, *later = writes
        mirror = make_mirror(first)
        mirror._holds._compute_hold = hold_registration
        watch(mirror, later, 1, 58)
        watch(mirror, [], 2, 49)
        back = first._replace(revision=make_revision(2, get_number(first.revision)))
        self.changed = relist(mirror, [back], 2, 49)
        return mirror

    def test_a_leave_that_the_store_lost_holds_until_the_entry_is_written_again(self):
        # The upstream leaves for many seconds. With its older entry it would get
        # requests again, although the store has acknowledged its leave.
        ready, leaving = put("u", 1, 45, b"ready"), put("u", 1, 55, b"leaving")
        mirror = self.restore(ready, leaving)
        self.assertEqual(self.changed + mirror.expire_held(1e6), [])
        self.assertEqual(mirror.in_force["a/u"].value, b"leaving")
        again = put("u", 2, 51, b"ready")
        self.assertEqual(watch(mirror, [again], 2, 51, 3.0), [again])

    def test_an_entry_that_returns_is_ignored_while_it_may_lapse(self):
        mirror = self.restore(put("u", 1, 45), delete("u", 1, 55))
        self.assertEqual(mirror.expire_held(2.0 + RESTORED_REGISTRATION_HOLD - 1), [])
        self.assertNotIn("a/u", mirror.in_force)
        (back,) = mirror.expire_held(2.0 + RESTORED_REGISTRATION_HOLD)
        self.assertEqual(back.key, "a/u")


class TestNewsOfARestoredStore(unittest.TestCase):
    def setUp(self):
        items = [put(f"k{n}", 1, 10 + n, b"x" * 300) for n in range(30)]
        self.leader, self.follower = make_mirror(*items), make_mirror(*items)
        self.items = items
        self.follower.passive = True

    def list_items(self, epoch):
        """Return the first items as a store of this epoch has them."""
        return [
            item._replace(revision=make_revision(epoch, get_number(item.revision)))
            for item in self.items
        ]

    def restore(self, number=45):
        """Let the leader list a restored store, which has its first items."""
        watch(self.leader, [], 2, number)
        relist(self.leader, self.list_items(2), 2, number)

    def apply_news(self, now=3.0):
        """Query the leader; return its news and what changed."""
        news = self.leader.make_news(self.follower.revision, now)
        return news, self.follower.apply_news(news, now, now)

    def test_unchanged_items_are_not_sent_again(self):
        # Hundreds of followers would otherwise get all items, or list the store
        # together.
        self.restore()
        news, changed = self.apply_news()
        self.assertEqual((news.items, news.keys, changed), ((), None, []))
        self.assertEqual(self.follower.items, self.leader.items)

    def test_changes_of_one_epoch_are_sent_without_keys(self):
        watch(self.leader, [delete("k1", 1, 52)], 1, 52)
        news, changed = self.apply_news()
        self.assertEqual((news.keys, len(news.items), len(changed)), (None, 1, 1))

    def test_a_follower_that_knew_more_learns_of_later_changes(self):
        self.follower.passive = False
        watch(self.follower, [put("short", 1, 70)], 1, 90)
        self.follower.passive = True
        self.restore()
        while self.follower.revision != self.leader.revision:
            self.apply_news()
        self.assertIn("a/short", self.follower.held_until)
        gone = delete("k3", 2, 52)
        watch(self.leader, [gone], 2, 52, 4.0)
        self.assertEqual(self.apply_news(5.0)[1], [gone])
        self.assertEqual(self.follower.items, self.leader.items)

    def test_news_from_before_the_return_change_nothing(self):
        # One instance slept through the return and tells what it knew.
        sleeper = make_mirror(*self.items)
        watch(sleeper, [put("k1", 1, 95, b"old")], 1, 99)
        self.restore()
        self.apply_news()
        known, as_of = dict(self.follower.items), self.follower.as_of
        news = sleeper.make_news(self.follower.revision, 9.0)
        self.assertEqual(self.follower.apply_news(news, 9.0, 9.0), [])
        self.assertEqual((self.follower.items, self.follower.as_of), (known, as_of))

    def test_a_sleeper_catches_up_over_several_returns(self):
        self.restore()
        watch(self.leader, [delete("k1", 2, 46)], 2, 47)
        watch(self.leader, [], 3, 46)
        kept = [item for item in self.list_items(3) if item.key != "a/k1"]
        relist(self.leader, kept, 3, 46)
        changed = self.apply_news(9.0)[1]
        self.assertEqual([item.key for item in changed], ["a/k1"])
        self.assertEqual(self.follower.items, self.leader.items)

    def test_a_follower_holds_what_the_store_took_back(self):
        for mirror in (self.leader, self.follower):
            mirror.passive = False
            watch(mirror, [put("k1", 1, 55, b"new"), delete("k2", 1, 56)], 1, 58)
        self.follower.passive = True
        self.restore()
        self.assertEqual(self.apply_news()[1], [])
        self.assertEqual(self.follower.in_force["a/k1"].value, b"new")
        self.assertNotIn("a/k2", self.follower.in_force)
        self.assertEqual(self.follower.items, self.leader.items)

    def test_news_of_a_leader_that_is_cut_off_do_not_replace_the_list(self):
        # The leader has not seen the return, and its news are young. If they cancelled
        # the follower's list each time, it would learn of nothing.
        self.follower.passive = False
        watch(self.follower, [], 2, 60)
        self.apply_news(1.1)
        self.assertEqual(self.follower.next_call(1.2), ListItems("a/"))

    def test_a_part_of_the_new_epoch_is_not_passed_on(self):
        # The receiver would take its own items of the earlier epoch for the rest.
        sender = make_mirror(*self.list_items(2), epoch=2)
        self.follower.passive = False
        watch(self.follower, [put("short", 1, 70)], 1, 90)
        news = sender.make_news(self.follower.revision, 3.0)
        self.follower.apply_news(news, 3.0, 3.0)
        self.assertIsNone(self.follower.make_news(make_revision(1, 50), 3.0))

    def test_deletions_are_found_where_news_come_in_parts(self):
        # The follower has applied a part of the new epoch when an item of the earlier
        # one is deleted; the deletion is older than the part.
        sender = make_mirror(*self.list_items(2), epoch=2)
        self.follower.passive = False
        watch(self.follower, [put("short", 1, 70)], 1, 90)
        self.follower.passive = True
        first = sender.make_news(self.follower.revision, 3.0)
        self.assertTrue(first.more)
        self.follower.apply_news(first, 3.0, 3.0)
        watch(sender, [delete("k29", 2, 52)], 2, 52)
        while self.follower.revision != sender.revision:
            news = sender.make_news(self.follower.revision, 3.0)
            self.follower.apply_news(news, 3.0, 3.0)
        self.assertEqual(self.follower.items, sender.items)
