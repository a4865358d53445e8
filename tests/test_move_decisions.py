"""Tests of the decisions about moves and backups, without network."""

import unittest

from chervilwing.dialects import PLAIN, AttemptContext
from chervilwing.models import Address
from chervilwing.platform.documents import read_engine
from chervilwing.platform.headers import DIALECT
from chervilwing.routing import EngineSpec
from chervilwing.stream_moves import (
    Action,
    BackupBudget,
    Candidate,
    MoveState,
    Result,
    RunningStream,
    choose_backup,
    choose_move,
    list_cut_off,
)
from chervilwing.stream_moves.calls import CopyAnswer, StreamCopy
from chervilwing.stream_moves.move_state import MAX_CALLS, Step

ENGINE = EngineSpec(4, 1000, 1000.0, 8e6, moves=True, backups=True)
# Its copy takes 0.1 s, and 0.2 s to another data centre.
STREAM = RunningStream("s", "a", "v1", 1, 100, 10, 300, 0.01, 2.0)
NEAR = Candidate("near", "a", "v1", 1, 100, 1.0)
FAR = Candidate("far", "b", "v1", 0, 0)


def play(*results, until=1e9):
    """Return the state and the actions of a move with these results."""
    state = MoveState(until)
    actions = [state.record(result, "h") for result in results]
    return state, actions


class TestMoveState(unittest.TestCase):
    def expect(self, results, last, cause):
        """Expect the last action, and what ended the move."""
        state, actions = play(*results)
        self.assertEqual(actions[-1], last)
        self.assertEqual(state.cause, cause)

    def test_each_failure_halfway(self):
        # Guards against a send without a handle and a run that nobody continues.
        copied, started = Result.COPIED, Result.STARTED
        refused, lost = Result.NOT_STARTED, Result.LOST
        stop, ask = Action.STOP_LATER, Action.ASK
        for results, last, cause in (
            ((copied, copied, started), Action.DONE, ""),
            ((Result.REFUSED,), Action.LEAVE, "refused"),
            ((Result.NO_RUN,), Action.LEAVE, "no_run"),
            ((lost,), Action.COPY_LATER, ""),
            ((Result.BUSY,), Action.COPY_LATER, ""),
            ((copied, Result.KEPT), Action.SEND_TO_SOURCE, ""),
            ((copied, Result.REFUSED), ask, ""),
            ((copied, Result.BUSY), stop, ""),
            ((copied, lost), ask, ""),
            ((copied, lost, Result.RUNNING), stop, ""),
            ((copied, lost, Result.STOPPED), stop, ""),
            ((copied, lost, lost), Action.LEAVE, "lost"),
            ((copied, lost, Result.STOPPED, Result.NO_RUN), Action.LEAVE, "no_run"),
            ((copied, copied, refused), Action.SEND_TO_SOURCE, ""),
            ((copied, copied, refused, started), Action.DONE, ""),
            ((copied, copied, refused, refused), Action.LEAVE, "not_started"),
        ):
            with self.subTest(results=results):
                self.expect(results, last, cause)

    def test_a_run_counts_as_ended_only_once_that_is_known(self):
        # Guards against two engines at work after a broken connection.
        ending, checking = Step.ENDING, Step.CHECKING
        for step, results, last, run_ended in (
            (ending, (Result.COPIED,), Action.SEND_TO_TARGET, True),
            (ending, (Result.KEPT,), Action.SEND_TO_SOURCE, True),
            (ending, (Result.NO_RUN,), Action.LEAVE, True),
            (ending, (Result.LOST, Result.GONE), Action.LEAVE, True),
            (ending, (Result.LOST,), Action.STOP_LATER, False),
            (ending, (Result.BUSY,), Action.STOP_LATER, False),
            (ending, (Result.REFUSED,), Action.STOP_LATER, False),
            (Step.DISCARDING, (Result.COPIED,), Action.LEAVE, True),
            (Step.DISCARDING, (Result.KEPT,), Action.LEAVE, True),
            (Step.DISCARDING, (Result.LOST,), Action.STOP_LATER, False),
            (checking, (Result.RUNNING,), Action.ASK_LATER, False),
            (checking, (Result.LOST,), Action.ASK_LATER, False),
            (checking, (Result.STOPPED,), Action.LEAVE, True),
            (checking, (Result.NOT_OFFERED,), Action.LEAVE, False),
        ):
            with self.subTest(step=step, results=results):
                state = MoveState()
                state.begin_ending(step)
                actions = [state.record(result, "h") for result in results]
                self.assertEqual((actions[-1], state.run_ended), (last, run_ended))

    def test_a_move_ends_although_no_call_does(self):
        # Guards against calls for ever, and beyond the end of the source.
        state, actions = play(*[Result.BUSY] * MAX_CALLS)
        self.assertEqual((actions[-1], state.has_ended), (Action.LEAVE, True))
        state = MoveState(give_up_at=5.0)
        self.assertEqual(state.record(Result.LOST, now=5.0), Action.LEAVE)

    def test_a_result_after_the_end_changes_nothing(self):
        # Guards against a late answer that revives a move.
        for result in Result:
            state, _ = play(Result.COPIED, Result.COPIED, Result.STARTED)
            self.assertEqual(state.record(result), Action.LEAVE)


class TestPlanner(unittest.TestCase):
    def choose(self, streams, candidates=(NEAR, FAR), now=0.0):
        streams = list_cut_off(streams, now)
        return choose_move(streams, candidates, ENGINE, now)

    def test_urgent_streams_go_first_and_near(self):
        # Guards against urgent streams that are still queued when their engine ends.
        urgent = STREAM._replace(key="u", priority=0)
        self.assertEqual(self.choose([STREAM, urgent]), (urgent, NEAR))

    def test_only_streams_that_a_move_saves_are_moved(self):
        # Guards against charges without a use.
        for changes in ({"events": 120}, {"leaves_at": 0.1}):
            self.assertIsNone(self.choose([STREAM._replace(**changes)]))
        # The copy would end after the stream.
        late = STREAM._replace(events=295, leaves_at=0.02)
        self.assertIsNone(self.choose([late]))

    def test_targets_have_the_version_and_room(self):
        # Guards against a stream of two versions and copies that are refused.
        for near in (
            NEAR._replace(version="v2"),
            NEAR._replace(requests=4),
            NEAR._replace(tokens=850),
        ):
            self.assertEqual(self.choose([STREAM], (near, FAR)), (STREAM, FAR))
        refused = STREAM._replace(refused=("near", "far"))
        self.assertIsNone(self.choose([refused]))

    def test_long_streams_get_a_backup_in_another_data_centre(self):
        # Guards against backups that are lost with the stream.
        self.assertEqual(choose_backup(STREAM, (NEAR, FAR), ENGINE), FAR)
        short = STREAM._replace(expected_events=100)
        self.assertIsNone(choose_backup(short, (NEAR, FAR), ENGINE))

    def test_backups_take_a_tenth_of_the_memory(self):
        # Guards against engines that are full of copies.
        budget = BackupBudget()
        self.assertTrue(budget.reserve("a", 60, 1000))
        self.assertFalse(budget.reserve("b", 60, 1000))
        budget.release("a")
        self.assertTrue(budget.reserve("b", 60, 1000))


class TestCalls(unittest.TestCase):
    def test_answers_of_a_copy_call(self):
        # Guards against a handle that is missed or made up.
        for status, body, expected in (
            (200, b'{"handle": "h", "createRev": 3}', CopyAnswer(Result.COPIED, "h")),
            (200, b"{}", CopyAnswer(Result.LOST)),
            (200, b"nonsense", CopyAnswer(Result.LOST)),
            (503, b'{"handle": "h"}', CopyAnswer(Result.KEPT, "h")),
            (503, b"", CopyAnswer(Result.REFUSED)),
            (404, b"[]", CopyAnswer(Result.NO_RUN)),
            (409, b"", CopyAnswer(Result.BUSY)),
            (500, b"", CopyAnswer(Result.LOST)),
            (0, b"", CopyAnswer(Result.LOST)),
        ):
            for dialect in (DIALECT, PLAIN):
                self.assertEqual(dialect.moves.read_copy(status, body), expected)

    def test_the_report_tells_whether_a_run_goes_on(self):
        # Guards against a run that counts as stopped while nothing is known of it.
        read = DIALECT.moves.read_report
        self.assertEqual(read(200, b'{"runs": ["r"]}', "r"), Result.RUNNING)
        self.assertEqual(read(200, b'{"runs": [{"id": "r"}]}', "r"), Result.RUNNING)
        self.assertEqual(read(200, b'{"runs": ["q"]}', "r"), Result.STOPPED)
        listed = b'{"runs": [["r", 800, 3, 1], []]}'
        self.assertEqual(read(200, listed, "r"), Result.RUNNING)
        self.assertEqual(read(200, listed, "q"), Result.STOPPED)
        self.assertEqual(read(404, b"", "r"), Result.NOT_OFFERED)
        for status, body in ((200, b"{}"), (503, b'{"runs": []}'), (0, b"")):
            self.assertEqual(read(status, body, "r"), Result.LOST)

    def test_header_fields_only_the_gateway_sends(self):
        # Guards against callers that read another customer's copy.
        copy = StreamCopy(Address("10.0.0.1", 80), "h")
        context = AttemptContext("u", "o", 1.0, copy=copy, backup=copy.address)
        plain = AttemptContext("u", "o", 1.0)
        for dialect, names in (
            (DIALECT, ("kv-from", "x-kv-backup")),
            (PLAIN, ("chervilwing-copy", "chervilwing-backup")),
        ):
            fields = dialect.write_headers({}, context)
            values = [fields[name] for name in names]
            self.assertEqual(values, ["10.0.0.1:80/h", "10.0.0.1:80"])
            self.assertFalse(set(names) & set(dialect.write_headers(fields, plain)))

    def test_engines_state_what_they_offer(self):
        # Guards against calls to engines that don't know them.
        value = {"slots": 4, "kvCapacity": 9}
        self.assertEqual(read_engine(value), EngineSpec(4, 9))
        offered = {"moves": True, "backups": True, "handleTtlS": 5}
        self.assertEqual(read_engine(value | offered).handle_ttl, 5)


if __name__ == "__main__":
    unittest.main()
