"""Tests of concurrent edits with lost and delayed messages, on an in-memory store."""

import itertools
import random
import unittest

from returns.pipeline import is_successful

from chervilwing.changes import EMPTY_CONFIGURATION, Change, edit_entries, find_changes
from chervilwing.documents import CONFIG_KEY, parse_document, serialise
from chervilwing.edits import MAX_SENDS, Commit, Done, Edit, make_history_key
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
    """Compare-and-swap store in memory; records each configuration written to it."""

    def __init__(self):
        self.values = {}
        self.written = []
        self.late = []

    def handle(self, request):
        value, version = self.values.get(request.key, ("", 0))
        if isinstance(request, Read):
            return Found(value, version) if version else Missing()
        if request.expect != version:
            return Rejected(value, version) if version else Missing()
        self.values[request.key] = (request.value, version + 1)
        if request.key == CONFIG_KEY:
            self.written.append(parse_document(request.value).unwrap())
        return Written(version + 1)

    def handle_with_fault(self, request, fault):
        """Handle a request with a fault; a late one takes effect at the next call."""
        late, self.late = self.late, []
        for delayed in late:
            self.handle(delayed)
        if fault == LATE:
            self.late.append(request)
        elif fault == LOST_ANSWER:
            self.handle(request)
        return Unanswered() if fault else self.handle(request)


class Operator:
    """Runs one Commit step by step; a step sends one request."""

    def __init__(self, store, edit, empty_configuration=EMPTY_CONFIGURATION):
        self.store = store
        self.edit = edit
        self.commit = Commit(edit, empty_configuration)
        self.next_step = self.commit.start()

    def step(self, fault=None):
        if not self.done:
            reply = self.store.handle_with_fault(self.next_step, fault)
            self.next_step = self.commit.receive(reply)

    def finish(self):
        while not self.done:
            self.step()
        return self.next_step.result

    @property
    def done(self):
        return isinstance(self.next_step, Done)


def make_edit(base, operation, *changes):
    return Edit(base, changes, operation, author=operation)


def make_customer_change(name, weight=1.0):
    return Change("customers", name, Customer(name, weight=weight))


def make_store():
    """Return a store at revision 1, with one customer, and its configuration."""
    store = Store()
    edit = make_edit(EMPTY_CONFIGURATION, "first", make_customer_change("c"))
    return store, Operator(store, edit).finish().unwrap().configuration


class TestEdit(unittest.TestCase):
    def test_the_second_edit_archives_the_first_revision(self):
        store, cfg = make_store()
        self.assertEqual((cfg.revision, cfg.operation), (1, "first"))
        edit = make_edit(cfg, "second", Change("customers", "c"))
        second = Operator(store, edit).finish().unwrap()
        self.assertEqual(second.configuration.revision, 2)
        self.assertEqual(second.configuration.rules.customers, ())
        kept = parse_document(store.values[make_history_key(1)][0]).unwrap()
        self.assertEqual(kept, cfg)

    def test_an_edit_without_changes_writes_nothing(self):
        store, cfg = make_store()
        result = Operator(
            store, make_edit(cfg, "again", make_customer_change("c"))
        ).finish()
        self.assertFalse(result.unwrap().changed)
        self.assertEqual(len(store.written), 1)

    def test_an_invalid_edit_fails_before_any_request(self):
        change = Change("customers", "d", Customer("d", work_class="none"))
        operator = Operator(Store(), make_edit(EMPTY_CONFIGURATION, "bad", change))
        self.assertTrue(operator.done)
        self.assertIsInstance(operator.finish().failure(), BadConfiguration)

    def test_an_unreadable_value_fails_before_any_request(self):
        # An operator's user name contains a line break. If it were stored, every
        # instance and every later edit would reject the value, and only deleting the
        # key would help.
        edit = make_edit(EMPTY_CONFIGURATION, "op", make_customer_change("c"))._replace(
            author="a\nb"
        )
        self.assertIsInstance(
            Operator(Store(), edit).finish().failure(), BadConfiguration
        )

    def test_rollback_is_a_new_revision_with_old_content(self):
        store, first = make_store()
        edit = make_edit(first, "second", make_customer_change("c", weight=2.0))
        second = Operator(store, edit).finish().unwrap().configuration
        rollback = make_edit(second, "back", *find_changes(second, first))
        third = Operator(store, rollback).finish().unwrap().configuration
        self.assertEqual((third.revision, third.rules), (3, first.rules))

    def test_after_a_deletion_the_revision_number_continues(self):
        # Someone deletes the key. Instances keep using revision 7 and ignore lower
        # ones, so an edit written as revision 1 would never be in force.
        empty_configuration = EMPTY_CONFIGURATION._replace(revision=7)
        edit = make_edit(empty_configuration, "new", make_customer_change("c"))
        cfg = (
            Operator(Store(), edit, empty_configuration).finish().unwrap().configuration
        )
        self.assertEqual(cfg.revision, 8)


class TestRaces(unittest.TestCase):
    def test_concurrent_edits_of_different_entries_are_both_stored(self):
        # Two operators read revision 1 and edit at the same time: Ana adds a customer
        # and Bo a class. Without a rebase Bo's edit would be rejected, or Ana's
        # customer lost.
        store, base = make_store()
        ana = Operator(store, make_edit(base, "ana", make_customer_change("d")))
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

    def test_a_conflict_on_one_entry_reports_both_values(self):
        # Ana and Bo both change the weight of customer c. Bo writes second and must not
        # silently overwrite Ana's value.
        store, base = make_store()
        ana = make_edit(base, "ana", make_customer_change("c", weight=2.0))
        bo = make_edit(base, "bo", make_customer_change("c", weight=3.0))
        bo = Operator(store, bo)
        Operator(store, ana).finish()
        exc = bo.finish().failure()
        self.assertIsInstance(exc, EditConflict)
        (overlap,) = exc.overlaps
        self.assertEqual(overlap.theirs, {"name": "c", "weight": 2.0})
        self.assertEqual(overlap.ours, {"name": "c", "weight": 3.0})
        self.assertEqual(overlap.base, {"name": "c"})
        self.assertIn("ana", str(exc))

    def test_edits_that_are_invalid_together_conflict(self):
        # Ana removes the class memo, which no customer uses yet. At the same time Bo
        # assigns it to a customer. Each edit is valid alone; together they would leave
        # a reference to a class that doesn't exist.
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
        # Ana and Bo edit different entries while one request or reply is lost, or one
        # request takes effect late. An operator who sees "failed" would enter the edit
        # again, and one who sees "done" would not check: the reported outcome must
        # match the store.
        for schedule in itertools.product((0, 1), repeat=7):
            for fault_step, fault in itertools.product(
                range(7), (LOST_REQUEST, LOST_ANSWER, LATE)
            ):
                with self.subTest(
                    schedule=schedule, fault_step=fault_step, fault=fault
                ):
                    self.check_schedule(schedule, fault_step, fault)

    def check_schedule(self, schedule, fault_step, fault):
        store, base = make_store()
        operators = [
            Operator(store, make_edit(base, name, make_customer_change(name)))
            for name in ("ana", "bo")
        ]
        for step, index in enumerate(schedule):
            operators[index].step(fault if step == fault_step else None)
        for operator in operators:
            self.assertTrue(operator.finish().unwrap().changed)
        names = {item.name for item in store.written[-1].rules.customers}
        self.assertEqual(names, {"c", "ana", "bo"})
        self.assertEqual([cfg.revision for cfg in store.written], [1, 2, 3])
        done = [cfg.operation for cfg in store.written]
        self.assertEqual(sorted(done), ["ana", "bo", "first"])
        kept = {key for key in store.values if key != CONFIG_KEY}
        self.assertEqual(kept, {make_history_key(1), make_history_key(2)})

    def test_three_operators_under_many_faults(self):
        # The network loses or delays a quarter of all calls while three operators edit,
        # two of them the same entry. An edit reported as done must be in the store
        # exactly once; one reported as not run must never appear there.
        for seed in range(600):
            with self.subTest(seed=seed):
                self.check_random_faults(random.Random(seed))

    def check_random_faults(self, rng):
        store, base = make_store()
        edits = [
            make_edit(base, "ana", make_customer_change("c", weight=2.0)),
            make_edit(
                base,
                "bo",
                make_customer_change("c", weight=3.0),
                make_customer_change("d"),
            ),
            make_edit(base, "cid", make_customer_change("e")),
        ]
        operators = [Operator(store, edit) for edit in edits]
        while not all(operator.done for operator in operators):
            fault = rng.choice((LOST_REQUEST, LOST_ANSWER, LATE, *[None] * 9))
            rng.choice(operators).step(fault)
        # Lets a late request take effect.
        store.handle_with_fault(Read(CONFIG_KEY), None)
        written = [cfg.operation for cfg in store.written]
        self.assertEqual(len(written), len(set(written)))
        revisions = [cfg.revision for cfg in store.written]
        self.assertEqual(revisions, list(range(1, len(written) + 1)))
        for operator in operators:
            self.check_reported_outcome(operator, written)

    def check_reported_outcome(self, operator, written):
        """Check that the outcome reported to an operator matches the store."""
        result = operator.finish()
        is_written = operator.edit.operation in written
        if is_successful(result):
            self.assertTrue(is_written)
        elif result.failure().outcome == NOT_RUN:
            self.assertFalse(is_written)

    def test_a_lost_reply_before_a_further_revision_is_found_in_the_history(self):
        # Ana's write takes effect and its reply is lost. Before her tool sends it
        # again, Bo writes revision 3. The current value has Bo's operation id; Ana's is
        # only in the history.
        store, base = make_store()
        ana = Operator(store, make_edit(base, "ana", make_customer_change("d")))
        ana.step()
        ana.step()
        ana.step(LOST_ANSWER)
        current = store.written[-1]
        bo = make_edit(current, "bo", Change("customers", "d"))
        Operator(store, bo).finish().unwrap()
        committed = ana.finish().unwrap()
        self.assertEqual(committed.configuration.revision, 2)
        self.assertEqual(
            [cfg.operation for cfg in store.written], ["first", "ana", "bo"]
        )

    def test_an_unanswered_edit_reports_whether_it_may_be_stored(self):
        # The service doesn't reply. Before the write is sent the edit can't have run;
        # afterwards the failure must say that it may be stored, with its operation id.
        for steps, outcome in ((0, NOT_RUN), (1, NOT_RUN), (2, UNKNOWN)):
            with self.subTest(steps=steps):
                store, base = make_store()
                ana = Operator(store, make_edit(base, "ana", make_customer_change("d")))
                for _ in range(steps):
                    ana.step()
                for _ in range(MAX_SENDS):
                    ana.step(LOST_REQUEST)
                exc = ana.finish().failure()
                self.assertIsInstance(exc, PlatformDown)
                self.assertEqual(exc.outcome, outcome)
                self.assertIn("ana", str(exc))

    def test_an_unreadable_stored_value_is_not_overwritten(self):
        store, base = make_store()
        store.values[CONFIG_KEY] = ('{"revision": 9, "newer": true}', 9)
        ana = Operator(store, make_edit(base, "ana", make_customer_change("d")))
        self.assertIsInstance(ana.finish().failure(), BadConfiguration)
        self.assertEqual(len(store.written), 1)


class TestEditEntries(unittest.TestCase):
    def test_settings_change_and_add_entries_and_removals_remove_them(self):
        base = make_store()[1]
        lines = [
            "customers.c.weight=2",
            "classes.a.b.deadline=5",
            "customers.d.weight=3",
        ]
        cfg = edit_entries(base, lines, [])
        self.assertEqual(cfg.rules.customers[0].weight, 2.0)
        self.assertEqual(cfg.rules.classes[0], WorkClass("a.b", deadline=5.0))
        cfg = edit_entries(cfg, [], ["customers.d", "classes.a.b"])
        self.assertEqual(len(cfg.rules.customers), 1)
        self.assertEqual(parse_document(serialise(cfg)).unwrap(), cfg)

    def test_invalid_settings_and_removals_are_rejected(self):
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
                    edit_entries(base, settings, removals)
