"""Who leads a group: deaths, cuts, lost datagrams, growth."""

import unittest
from collections import Counter

from chervilwing.fanout import (
    ANSWER_WAIT,
    ASK_EVERY,
    AVOIDED_FOR,
    GROUP_SIZE,
    OLDEST,
    Fanout,
    arrange,
    find_interval,
    rank,
)

# Questions a second that one instance answers: 0.1 ms of processor time each.
QUESTIONS_PER_SECOND = 100.0


def make_fleet(count, centres="abc"):
    """Return names by data centre."""
    fleet = {}
    for number in range(count):
        fleet.setdefault(centres[number % len(centres)], []).append(f"entry-{number}")
    return fleet


class TestGroups(unittest.TestCase):
    def test_a_group_is_of_one_data_centre_and_all_are_in_one(self):
        fleet = make_fleet(90)
        groups = arrange(fleet)
        for group, names in groups.items():
            self.assertLessEqual(set(names), set(fleet[group.partition("/")[0]]))
            self.assertEqual(names, rank(names))
        counted = Counter(name for names in groups.values() for name in names)
        self.assertEqual(counted, Counter(sum(fleet.values(), [])))

    def test_the_machine_with_the_ample_link_leads(self):
        # In a burst callers fill the link of a small machine. With a leader there its
        # words are lost, and its group decides alone on nothing for half a second,
        # again and again.
        fleet = make_fleet(90)
        links = dict.fromkeys(sum(fleet.values(), []), 10.0)
        ample = {names[-1]: 200.0 for names in fleet.values()}
        groups = arrange(fleet, {**links, **ample})
        for names in groups.values():
            if ample.keys() & set(names):
                self.assertIn(names[0], ample)

    def test_more_than_an_ample_link_is_no_reason_to_lead(self):
        names = [f"entry-{number}" for number in range(9)]
        links = {name: 200.0 + at for at, name in enumerate(names)}
        self.assertEqual(rank(names, links), rank(names))

    def test_the_questions_to_one_instance_stay_bounded_as_the_fleet_grows(self):
        # Each told all others at first: 90 instances made 360 datagrams a second at
        # every one of them.
        for count, centres in ((7, "abc"), (16, "abc"), (90, "abcd"), (320, "abcde")):
            groups = arrange(make_fleet(count, centres))
            mean = count / len(groups)
            rate = mean / find_interval(mean)
            rate += len(groups) / find_interval(2 * len(groups))
            self.assertLessEqual(mean, GROUP_SIZE)
            self.assertLessEqual(rate, QUESTIONS_PER_SECOND)


class TestFanout(unittest.TestCase):
    def setUp(self):
        self.fanout = Fanout()

    def ask(self, names, now, age=0.0):
        """Ask and answer once; return who was asked."""
        watcher = self.fanout.choose(names, now)
        number = self.fanout.next_question(now)
        if number is not None:
            self.fanout.receive(number, age, False, now)
        return watcher

    def test_the_first_of_the_ranked_is_asked(self):
        self.assertEqual(self.ask(["one", "two"], 0.0), "one")
        self.assertIsNone(self.fanout.choose([], 0.1))

    def test_a_dead_one_is_left_after_two_questions(self):
        # The instance that watches is killed: nothing it was asked is answered, and a
        # change of the configuration has to be in force within two seconds.
        now, names = 0.0, ["one", "two"]
        self.ask(names, now)
        while self.fanout.choose(names, now) == "one":
            self.fanout.next_question(now)
            now += 0.05
        self.assertLessEqual(now, ASK_EVERY + 3 * ANSWER_WAIT)

    def test_one_lost_datagram_changes_nothing(self):
        self.fanout.choose(["one", "two"], 0.0)
        self.fanout.next_question(0.0)
        now = ANSWER_WAIT
        number = self.fanout.next_question(now)
        self.assertIsNotNone(number)
        self.fanout.receive(number, 0.0, False, now)
        self.assertEqual(self.fanout.choose(["one", "two"], now), "one")

    def test_one_that_is_cut_off_from_the_store_is_no_proof(self):
        # It answers on and on with what it knew; a key taken away meanwhile would stay
        # alive at all that ask it.
        self.assertFalse(self.fanout.fresh)
        self.ask(["one", "two"], 0.0)
        self.assertTrue(self.fanout.fresh)
        self.ask(["one", "two"], 1.0, age=OLDEST + 0.1)
        self.assertFalse(self.fanout.fresh)
        # It is asked on: what instances spend doesn't depend on the store.
        self.assertEqual(self.fanout.choose(["one", "two"], 1.1), "one")

    def test_a_dead_one_is_asked_again_after_a_while(self):
        now, names = 0.0, ["one", "two"]
        while self.fanout.choose(names, now) == "one":
            self.fanout.next_question(now)
            now += 0.05
        self.assertEqual(self.ask(names, now + AVOIDED_FOR - 0.1), "two")
        self.assertEqual(self.ask(names, now + AVOIDED_FOR + 0.1), "one")

    def test_an_answer_to_an_older_question_proves_nothing(self):
        # It comes after a freeze: counted from the newest question it would look fresh.
        self.fanout.choose(["one"], 0.0)
        old = self.fanout.next_question(0.0)
        new = self.fanout.next_question(ANSWER_WAIT)
        self.assertIsNone(self.fanout.receive(old, 0.0, False, ANSWER_WAIT))
        asked = self.fanout.receive(new, 0.0, False, 9.0)
        self.assertEqual(asked.at, ANSWER_WAIT)

    def test_more_to_tell_is_asked_for_at_once(self):
        self.fanout.choose(["one"], 0.0)
        number = self.fanout.next_question(0.0)
        self.fanout.receive(number, 0.0, True, 0.01)
        self.assertIsNotNone(self.fanout.next_question(0.01))

    def test_who_watches_is_asked_when_somebody_says_so(self):
        self.ask(["one", "two", "three"], 0.0)
        self.fanout.prefer("three", 0.1)
        self.assertEqual(self.ask(["one", "two", "three"], 0.1), "three")
        self.assertEqual(self.fanout.choose(["one", "two"], 0.2), "one")
