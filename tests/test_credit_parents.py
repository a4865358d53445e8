"""Choice of the parent to claim credit from: losses, returns, partitions."""

import unittest

from chervilwing.credit_parents import PARENT_TIMEOUT, PROBE_INTERVAL, ParentChoice

GROUP = ["group-1", "group-2"]
ALL = ["other-1", "group-1", "other-2", "group-2"]
STEP = 0.05


class Peers:
    """Simulated other instances, some of which answer."""

    def __init__(self, answering):
        self.choice = ParentChoice()
        self.answering = set(answering)
        self.now = 0.0
        self.probes = 0

    def run(self, seconds, group_candidates=GROUP, all_candidates=ALL):
        """Advance the clock; return the parent chosen by then."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            parent = self.choice.choose(group_candidates, all_candidates, self.now)
            if parent is not None:
                self.choice.record_claim(self.now)
                self._answer(parent)
            for name in self.choice.list_probes(
                group_candidates, all_candidates, self.now
            ):
                self.probes += 1
                self._answer(name)
        return self.choice.parent

    def _answer(self, name):
        if name in self.answering:
            self.choice.record_answer(name, self.now)


class TestParentChoice(unittest.TestCase):
    def test_first_of_the_own_group_is_the_parent(self):
        self.assertEqual(Peers(ALL).run(1.0), "group-1")

    def test_first_of_a_group_claims_from_the_first_of_all(self):
        self.assertEqual(Peers(ALL).run(1.0, group_candidates=[]), "other-1")

    def test_first_of_all_has_no_parent(self):
        peers = Peers(ALL)
        self.assertIsNone(peers.run(1.0, group_candidates=[], all_candidates=[]))
        self.assertEqual(peers.probes, 0)

    def test_lost_parent_is_replaced_soon(self):
        # The parent dies while requests wait for credit. Without another parent, its
        # children would have only their own shares.
        peers = Peers(ALL)
        peers.run(1.0)
        peers.answering.remove("group-1")
        self.assertEqual(peers.run(PARENT_TIMEOUT + 4 * STEP), "group-2")

    def test_better_parent_is_chosen_once_it_answers_a_probe(self):
        # It is not known whether a better parent that was lost is back. If the instance
        # claimed from it before it answers a probe, the instance would lack credit for
        # a third of a second every few seconds.
        peers = Peers(["group-2", *ALL])
        peers.answering.remove("group-1")
        peers.run(2.0)
        parents = {peers.run(STEP) for _ in range(60)}
        self.assertEqual(parents, {"group-2"})
        peers.answering.add("group-1")
        self.assertEqual(peers.run(PROBE_INTERVAL + 2 * STEP), "group-1")

    def test_many_lost_instances_are_probed_together(self):
        # Half of two hundred instances are cut off. Tried one after the other, each for
        # a third of a second, the first that answers would be found after half a
        # minute.
        names = [f"n{number}" for number in range(200)]
        peers = Peers(names[100:])
        self.assertEqual(
            peers.run(2.0, group_candidates=[], all_candidates=names), "n100"
        )

    def test_no_probes_while_the_parent_answers(self):
        peers = Peers(ALL)
        peers.run(1.0)
        before = peers.probes
        peers.run(10.0)
        self.assertEqual(peers.probes, before)


if __name__ == "__main__":
    unittest.main()
