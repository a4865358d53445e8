"""Tests of what callers may take: memory, connections and bulk processing time."""

import unittest

from chervilwing.bulk_time import MAX_SAVED, PART, BulkTime
from chervilwing.caller_budget import (
    MIB,
    OTHER_DESCRIPTORS,
    CallerBudget,
    MachineLimits,
)
from chervilwing.caller_memory import (
    ANSWER,
    BODY,
    INPUT,
    REQUEST,
    CallerHolding,
    CallerMemory,
    estimate_request,
)
from chervilwing.exceptions import InstanceFull, TooLarge
from chervilwing.request_reader import ReaderOptions, RequestReader
from chervilwing.routing import CallerLimits
from chervilwing.waiting_callers import (
    ENDING,
    READING,
    REPLACED_AFTER,
    STALLED_AFTER,
    UNUSED,
    USED,
    WaitingCallers,
)
from tests.crowds import HEAD_BYTES, make_head, make_short_fields

ROOM = 10 * MIB
LARGEST_BODY = CallerLimits().body_bytes
# The smallest and the largest machines of the deployments.
MACHINES = (MachineLimits(160 * MIB, 4100), MachineLimits(552 * MIB, 8192))


class Limits:
    """The settings that a reader uses; in bytes."""

    head_limit = HEAD_BYTES
    body_limit = LARGEST_BODY


class TestMemory(unittest.TestCase):
    def setUp(self):
        self.memory = CallerMemory(ROOM)
        self.callers = [CallerHolding(self.memory) for _ in range(200)]

    def fill(self, kind, size):
        """Let callers hold pieces of one size until there is no room."""
        return sum(caller.hold(kind, size) for caller in self.callers)

    def test_small_requests_find_room_beside_bulk(self):
        for kind in (INPUT, BODY, ANSWER, REQUEST):
            with self.subTest(kind=kind):
                self.setUp()
                self.fill(kind, MIB)
                self.assertLessEqual(self.memory.used, self.memory.bulk_room)
                self.assertTrue(CallerHolding(self.memory).hold(REQUEST, 20_000))

    def test_one_caller_may_take_all_room(self):
        caller = self.callers[0]
        self.assertTrue(caller.hold(BODY, ROOM))
        self.assertFalse(self.callers[1].hold(BODY, MIB))
        caller.release()
        self.assertTrue(self.callers[1].hold(BODY, MIB))

    def test_what_is_held_by_force_is_reported_as_shortage(self):
        self.callers[0].hold(ANSWER, 2 * ROOM, force=True)
        self.assertEqual(self.memory.take_shortage(), 2 * ROOM - self.memory.bulk_room)
        self.callers[0].close()
        self.assertEqual(self.memory.take_shortage(), 0)

    def test_nothing_is_left_after_all_callers_have_closed(self):
        for kind in (INPUT, REQUEST, BODY, ANSWER):
            self.fill(kind, 100_000)
        for caller in self.callers:
            caller.close()
            caller.hold(ANSWER, 1000, force=True)
        self.assertEqual((self.memory.used, self.memory.bulk_used), (0, 0))

    def test_a_head_with_many_fields_is_estimated_by_its_fields(self):
        fields = make_short_fields(HEAD_BYTES - 300)
        self.assertGreater(estimate_request(make_head("/", *fields)), 50 * HEAD_BYTES)
        self.assertLess(estimate_request(make_head("/")), 2 * HEAD_BYTES)


class TestBudget(unittest.TestCase):
    def test_the_largest_request_fits_on_each_machine(self):
        for machine in MACHINES:
            with self.subTest(machine=machine):
                memory = CallerBudget(machine).memory
                # Bodies are in memory four times in chervilwingd.
                self.assertTrue(CallerHolding(memory).hold(BODY, 4 * LARGEST_BODY))

    def test_callers_leave_descriptors_for_everything_else(self):
        for machine in MACHINES:
            callers = CallerBudget(machine).max_callers
            # Each may have a request in flight to an upstream.
            self.assertLess(2 * callers, machine.descriptors - OTHER_DESCRIPTORS)


class TestReader(unittest.TestCase):
    def setUp(self):
        self.memory = CallerMemory(ROOM)

    def make_reader(self, **options):
        """Return a reader whose connection shares the memory."""
        holding = CallerHolding(self.memory)
        return RequestReader(Limits(), holding, ReaderOptions(**options))

    def test_a_body_is_begun_only_with_room_for_all_of_it(self):
        head = make_head("/", f"Content-Length: {LARGEST_BODY}")
        readers = [self.make_reader() for _ in range(3)]
        for reader in readers:
            reader.feed(head)
        self.assertIsNone(readers[0].pop_request())
        with self.assertRaises(InstanceFull):
            readers[1].pop_request()
        readers[0].discard()
        self.assertIsNone(readers[2].pop_request())

    def test_chunks_without_end_are_refused(self):
        reader = self.make_reader(chunked=True)
        reader.feed(make_head("/", "Transfer-Encoding: chunked"))
        with self.assertRaises(TooLarge):
            while True:
                reader.feed(b"10000\r\n" + bytes(65536) + b"\r\n")
                self.assertIsNone(reader.pop_request())
                self.assertLessEqual(self.memory.used, ROOM)

    def test_a_request_that_cannot_be_served_is_refused_without_its_body(self):
        def refuse(req):
            raise TooLarge(req.path)

        head = make_head("/path", "Content-Length: 100")
        reader = self.make_reader(check_head=refuse)
        reader.feed(head)
        with self.assertRaises(TooLarge):
            reader.pop_request()
        self.assertEqual(reader.head.path, "/path")

    def test_bodies_are_skipped(self):
        reader = self.make_reader(skips_bodies=True)
        reader.feed(make_head("/", f"Content-Length: {LARGEST_BODY}") + b"x" * 1000)
        req = reader.pop_request()
        self.assertEqual((req.body, req.keep_alive, reader.idle), (b"", False, True))
        self.assertEqual(self.memory.used, 0)


class TestBulkTime(unittest.TestCase):
    def test_bulk_work_takes_its_part_of_the_time(self):
        bulk_time, spent = BulkTime(), 0.0
        for step in range(1000):
            bulk_time.refill(step * 0.005)
            for _ in range(bulk_time.count_pieces()):
                spent += 0.0005
                if not bulk_time.spend(0.0005):
                    break
        self.assertAlmostEqual(spent, PART * 5.0, delta=0.1)

    def test_time_that_was_not_used_is_not_saved_up(self):
        bulk_time = BulkTime()
        bulk_time.refill(0.0)
        bulk_time.refill(100.0)
        self.assertEqual(bulk_time.left, MAX_SAVED)


class TestWaitingCallers(unittest.TestCase):
    def test_connections_that_carry_nothing_are_closed_first(self):
        waiting = WaitingCallers()
        waiting.add("body", READING, 0.0)
        waiting.add("ending", ENDING, 0.5)
        waiting.add("used", USED, 0.6)
        waiting.add("old", UNUSED, 0.7)
        waiting.add("new", UNUSED, 0.9)
        now, found = 0.95, []
        while (conn := waiting.find_replaceable(now)) is not None:
            waiting.remove(conn)
            found.append(conn)
        self.assertEqual(found, ["used", "ending", "old", "body", "new"])

    def test_a_request_that_arrives_is_not_cut_at_once(self):
        waiting = WaitingCallers()
        waiting.add("body", READING, 1.0)
        self.assertIsNone(waiting.find_replaceable(1.0 + REPLACED_AFTER / 2))
        self.assertEqual(waiting.find_replaceable(1.0 + REPLACED_AFTER), "body")
        self.assertEqual(waiting.list_stalled(1.0 + STALLED_AFTER), ["body"])


if __name__ == "__main__":
    unittest.main()
