"""Tests of operators racing, with answers lost and late, against a store in memory."""

import itertools
import random
import unittest

from returns.pipeline import is_successful

from chervilwing.changes import EMPTY, Change, find_changes, set_values
from chervilwing.documents import CONFIG_KEY, parse_document, serialise
from chervilwing.edits import TRIES, Commit, Done, Edit, history_key
from chervilwing.exceptions import (
    NOT_RUN,
    UNKNOWN,
    BadConfiguration,
    EditConflict,
    PlatformDown,
)
from chervilwing.messages import Found, Missing, Read, Rejected, Unanswered, Written
from chervilwing.models import Customer, WorkClass

LOST_REQUEST, LOST_ANSWER, LATE = "lost request", "lost answer", "late"


class Store:
    """Compare-and-swap in memory; keeps every value of the configuration key."""

    def __init__(self):
        self.values = {}
        self.written = []
        self.late = []

    def answer(self, request):
        value, version = self.values.get(request.key, ("", 0))
        if isinstance(request, Read):
            return Found(value, version) if version else Missing()
        if request.expect != version:
            return Rejected(value, version) if version else Missing()
        self.values[request.key] = (request.value, version + 1)
        if request.key == CONFIG_KEY:
            self.written.append(parse_document(request.value).unwrap())
        return Written(version + 1)

    def answer_with(self, request, fault):
        """Answer under a fault; a late request takes effect at the next one."""
        late, self.late = self.late, []
        for held in late:
            self.answer(held)
        if fault == LATE:
            self.late.append(request)
        elif fault == LOST_ANSWER:
            self.answer(request)
        return Unanswered() if fault else self.answer(request)


class Operator:
    """Drives one Commit, a step at a time."""

    def __init__(self, store, edit, empty=EMPTY):
        self.store = store
        self.edit = edit
        self.commit = Commit(edit, empty)
        self.step_result = self.commit.start()

    def step(self, fault=None):
        if not self.done:
            reply = self.store.answer_with(self.step_result, fault)
            self.step_result = self.commit.receive(reply)

    def finish(self):
        while not self.done:
            self.step()
        return self.step_result.result

    @property
    def done(self):
        return isinstance(self.step_result, Done)


def make_edit(base, operation, *changes):
    return Edit(base, changes, operation, author=operation)


def add_customer(name, weight=1.0):
    return Change("customers", name, Customer(name, weight=weight))


def make_store():
    """Return a store with one revision of one customer, and that configuration."""
    store = Store()
    edit = make_edit(EMPTY, "first", add_customer("c"))
    return store, Operator(store, edit).finish().unwrap().configuration


class TestEdit(unittest.TestCase):
    def test_first_edit_and_history(self):
        store, cfg = make_store()
        self.assertEqual((cfg.revision, cfg.operation), (1, "first"))
        edit = make_edit(cfg, "second", Change("customers", "c"))
        again = Operator(store, edit).finish().unwrap()
        self.assertEqual(again.configuration.revision, 2)
        self.assertEqual(again.configuration.rules.customers, ())
        kept = parse_document(store.values[history_key(1)][0]).unwrap()
        self.assertEqual(kept, cfg)

    def test_nothing_to_change_writes_nothing(self):
        store, cfg = make_store()
        result = Operator(store, make_edit(cfg, "again", add_customer("c"))).finish()
        self.assertFalse(result.unwrap().changed)
        self.assertEqual(len(store.written), 1)

    def test_a_wrong_edit_is_refused_before_any_request(self):
        change = Change("customers", "d", Customer("d", work_class="none"))
        operator = Operator(Store(), make_edit(EMPTY, "bad", change))
        self.assertTrue(operator.done)
        self.assertIsInstance(operator.finish().failure(), BadConfiguration)

    def test_an_unreadable_value_is_refused_before_any_request(self):
        # An operator's user name holds a line break. Stored so, the value would be
        # refused by every instance and by the next edit, with no way out but deletion.
        edit = make_edit(EMPTY, "op", add_customer("c"))._replace(author="a\nb")
        self.assertIsInstance(
            Operator(Store(), edit).finish().failure(), BadConfiguration
        )

    def test_rollback_is_a_new_revision_with_old_content(self):
        store, first = make_store()
        edit = make_edit(first, "second", add_customer("c", weight=2.0))
        second = Operator(store, edit).finish().unwrap().configuration
        back = make_edit(second, "back", *find_changes(second, first))
        third = Operator(store, back).finish().unwrap().configuration
        self.assertEqual((third.revision, third.rules), (3, first.rules))

    def test_a_deleted_configuration_does_not_start_again_at_revision_one(self):
        # Someone deletes the key. Instances hold revision 7 and never go back, so an
        # edit that started again at 1 would be written and never be in force.
        empty = EMPTY._replace(revision=7)
        edit = make_edit(empty, "new", add_customer("c"))
        cfg = Operator(Store(), edit, empty).finish().unwrap().configuration
        self.assertEqual(cfg.revision, 8)


class TestRaces(unittest.TestCase):
    def test_edits_of_different_entries_both_hold(self):
        # Two operators read revision 1. Ana adds a customer and Bo a class; both press
        # enter at once. Without a rebase Bo would be refused, or Ana's customer lost.
        store, base = make_store()
        ana = Operator(store, make_edit(base, "ana", add_customer("d")))
        bo = make_edit(base, "bo", Change("classes", "memo", WorkClass("memo")))
        bo = Operator(store, bo)
        ana.step()
        bo.step()
        ana.finish()
        committed = bo.finish().unwrap()
        self.assertTrue(committed.rebased)
        rules = committed.configuration.rules
        self.assertEqual([item.name for item in rules.customers], ["c", "d"])
        self.assertEqual([item.name for item in rules.classes], ["memo"])

    def test_the_loser_of_the_same_entry_sees_both_sides(self):
        # Ana and Bo both change the weight of customer c. Bo comes second and must not
        # silently overwrite what Ana has just put in force.
        store, base = make_store()
        ana = make_edit(base, "ana", add_customer("c", weight=2.0))
        bo = make_edit(base, "bo", add_customer("c", weight=3.0))
        bo = Operator(store, bo)
        Operator(store, ana).finish()
        exc = bo.finish().failure()
        self.assertIsInstance(exc, EditConflict)
        (overlap,) = exc.overlaps
        self.assertEqual(overlap.theirs, {"name": "c", "weight": 2.0})
        self.assertEqual(overlap.ours, {"name": "c", "weight": 3.0})
        self.assertEqual(overlap.base, {"name": "c"})
        self.assertIn("ana", str(exc))

    def test_edits_that_are_wrong_together_conflict(self):
        # Ana removes class memo, which nobody uses yet. At the same time Bo gives it to
        # a customer. Each edit is right alone; both together leave a dangling name.
        store, base = make_store()
        memo = make_edit(base, "memo", Change("classes", "memo", WorkClass("memo")))
        base = Operator(store, memo).finish().unwrap().configuration
        ana = make_edit(base, "ana", Change("classes", "memo"))
        bo = Change("customers", "c", Customer("c", work_class="memo"))
        Operator(store, ana).finish()
        exc = Operator(store, make_edit(base, "bo", bo)).finish().failure()
        self.assertIsInstance(exc, EditConflict)
        self.assertIn("customers.c.work_class", str(exc))


class TestLostAnswers(unittest.TestCase):
    def test_every_schedule_of_two_operators_with_one_fault(self):
        # Ana and Bo edit different entries while one request or answer is lost, or one
        # request takes effect late. An operator told "failed" would enter the edit
        # again, one told "done" would go home: the word must match the store.
        for schedule in itertools.product((0, 1), repeat=7):
            for at, fault in itertools.product(
                range(7), (LOST_REQUEST, LOST_ANSWER, LATE)
            ):
                with self.subTest(schedule=schedule, at=at, fault=fault):
                    self.run_schedule(schedule, at, fault)

    def run_schedule(self, schedule, at, fault):
        store, base = make_store()
        operators = [
            Operator(store, make_edit(base, name, add_customer(name)))
            for name in ("ana", "bo")
        ]
        for i, who in enumerate(schedule):
            operators[who].step(fault if i == at else None)
        for operator in operators:
            self.assertTrue(operator.finish().unwrap().changed)
        names = {item.name for item in store.written[-1].rules.customers}
        self.assertEqual(names, {"c", "ana", "bo"})
        self.assertEqual([cfg.revision for cfg in store.written], [1, 2, 3])
        done = [cfg.operation for cfg in store.written]
        self.assertEqual(sorted(done), ["ana", "bo", "first"])
        kept = {key for key in store.values if key != CONFIG_KEY}
        self.assertEqual(kept, {history_key(1), history_key(2)})

    def test_three_operators_under_many_faults(self):
        # A bad network loses or delays a quarter of all calls while three operators
        # edit, two of them the same entry. Whoever hears "done" must find the edit in
        # the store once; whoever hears "not run" must never find it there.
        for seed in range(600):
            with self.subTest(seed=seed):
                self.run_seed(random.Random(seed))

    def run_seed(self, rng):
        store, base = make_store()
        edits = [
            make_edit(base, "ana", add_customer("c", weight=2.0)),
            make_edit(base, "bo", add_customer("c", weight=3.0), add_customer("d")),
            make_edit(base, "cid", add_customer("e")),
        ]
        operators = [Operator(store, edit) for edit in edits]
        while not all(operator.done for operator in operators):
            fault = rng.choice((LOST_REQUEST, LOST_ANSWER, LATE, *[None] * 9))
            rng.choice(operators).step(fault)
        store.answer_with(Read(CONFIG_KEY), None)
        written = [cfg.operation for cfg in store.written]
        self.assertEqual(len(written), len(set(written)))
        revisions = [cfg.revision for cfg in store.written]
        self.assertEqual(revisions, list(range(1, len(written) + 1)))
        for operator in operators:
            self.check_word(operator, written)

    def check_word(self, operator, written):
        """Check what an operator was told against what was written."""
        result = operator.finish()
        stands = operator.edit.operation in written
        if is_successful(result):
            self.assertTrue(stands)
        elif result.failure().outcome == NOT_RUN:
            self.assertFalse(stands)

    def test_lost_answer_and_a_further_revision(self):
        # Ana's write takes effect and its answer is lost. Before she asks again, Bo
        # puts revision 3 on top. The current value names Bo; only history names Ana.
        store, base = make_store()
        ana = Operator(store, make_edit(base, "ana", add_customer("d")))
        ana.step()
        ana.step()
        ana.step(LOST_ANSWER)
        current = store.written[-1]
        bo = make_edit(current, "bo", Change("customers", "d"))
        Operator(store, bo).finish().unwrap()
        committed = ana.finish().unwrap()
        self.assertEqual(committed.configuration.revision, 2)
        self.assertEqual([c.operation for c in store.written], ["first", "ana", "bo"])

    def test_no_answer_at_all_says_what_is_known(self):
        # The service is down. Before the write was sent nothing can have happened;
        # after it the operator must hear that the edit may stand, and its id.
        for steps, outcome in ((0, NOT_RUN), (1, NOT_RUN), (2, UNKNOWN)):
            with self.subTest(steps=steps):
                store, base = make_store()
                ana = Operator(store, make_edit(base, "ana", add_customer("d")))
                for _ in range(steps):
                    ana.step()
                for _ in range(TRIES):
                    ana.step(LOST_REQUEST)
                exc = ana.finish().failure()
                self.assertIsInstance(exc, PlatformDown)
                self.assertEqual(exc.outcome, outcome)
                self.assertIn("ana", str(exc))

    def test_a_value_nobody_can_read_is_never_overwritten(self):
        store, base = make_store()
        store.values[CONFIG_KEY] = ('{"revision": 9, "newer": true}', 9)
        ana = Operator(store, make_edit(base, "ana", add_customer("d")))
        self.assertIsInstance(ana.finish().failure(), BadConfiguration)
        self.assertEqual(len(store.written), 1)


class TestSetValues(unittest.TestCase):
    def test_sets_adds_and_removes(self):
        base = make_store()[1]
        lines = [
            "customers.c.weight=2",
            "classes.a.b.deadline=5",
            "customers.d.weight=3",
        ]
        cfg = set_values(base, lines, [])
        self.assertEqual(cfg.rules.customers[0].weight, 2.0)
        self.assertEqual(cfg.rules.classes[0], WorkClass("a.b", deadline=5.0))
        cfg = set_values(cfg, [], ["customers.d", "classes.a.b"])
        self.assertEqual(len(cfg.rules.customers), 1)
        self.assertEqual(parse_document(serialise(cfg)).unwrap(), cfg)

    def test_bad_paths_are_named(self):
        base = make_store()[1]
        cases = (
            (["customers.c"], []),
            (["machines.c.weight=1"], []),
            (["customers.c.colour=red"], []),
            (["customers.c.name=d"], []),
            (["customers.c.weight=much"], []),
            ([], ["customers.x"]),
            ([], ["customers"]),
        )
        for settings, removals in cases:
            with self.subTest(settings=settings, removals=removals):
                with self.assertRaises(BadConfiguration):
                    set_values(base, settings, removals)
