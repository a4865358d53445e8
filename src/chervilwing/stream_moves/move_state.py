"""State of one move: receives the results of its calls and says the next one.

A move begins while the stream runs, or after its connection broke off: the engine may
then still work on the request, which must not go on elsewhere before that has ended.
"""

from enum import Enum
from math import inf


class Step(Enum):
    """What a move waits for: a call's answer, or that of the continued request.

    After a broken connection a move begins with ENDING if the stream can go on from the
    copy of its run, with DISCARDING if it can't, and with CHECKING if the engine can
    only be asked whether it still works on the request.
    """

    COPYING = "copying"
    STOPPING = "stopping"
    ASKING = "asking"
    ENDING = "ending"
    DISCARDING = "discarding"
    CHECKING = "checking"
    AT_TARGET = "at_target"
    AT_SOURCE = "at_source"
    ENDED = "ended"


class Result(Enum):
    """Result of a call or of sending the request on.

    KEPT is a refusal after which the source still has the copy. LOST means that the
    outcome is unknown, GONE that nobody reaches the engine any more, and NOT_OFFERED
    that it doesn't know the call. NOT_STARTED means that an engine didn't continue the
    run, and that the handle still is unused or refused by every other engine.
    """

    COPIED = "copied"
    REFUSED = "refused"
    KEPT = "kept"
    NO_RUN = "no_run"
    BUSY = "busy"
    LOST = "lost"
    GONE = "gone"
    NOT_OFFERED = "not_offered"
    RUNNING = "running"
    STOPPED = "stopped"
    STARTED = "started"
    NOT_STARTED = "not_started"


class Action(Enum):
    """What to do next; LEAVE leaves the stream to the handling of failures."""

    COPY = "copy"
    COPY_LATER = "copy_later"
    STOP = "stop"
    STOP_LATER = "stop_later"
    ASK = "ask"
    ASK_LATER = "ask_later"
    SEND_TO_TARGET = "send_to_target"
    SEND_TO_SOURCE = "send_to_source"
    SEND_NOW = "send_now"
    LEAVE = "leave"
    DONE = "done"


# Calls that one move makes at most. Answers that report a call in progress are given
# until that call has ended, 50 ms apart; more than these mean that it never ends.
MAX_CALLS = 24

TRANSITIONS = {
    (Step.COPYING, Result.COPIED): (Step.STOPPING, Action.STOP),
    (Step.COPYING, Result.BUSY): (Step.COPYING, Action.COPY_LATER),
    # The run goes on, and a repeated call copies only what is new.
    (Step.COPYING, Result.LOST): (Step.COPYING, Action.COPY_LATER),
    (Step.STOPPING, Result.COPIED): (Step.AT_TARGET, Action.SEND_TO_TARGET),
    (Step.STOPPING, Result.KEPT): (Step.AT_SOURCE, Action.SEND_TO_SOURCE),
    (Step.STOPPING, Result.REFUSED): (Step.ASKING, Action.ASK),
    (Step.STOPPING, Result.BUSY): (Step.STOPPING, Action.STOP_LATER),
    (Step.STOPPING, Result.LOST): (Step.ASKING, Action.ASK),
    # Whether the run has stopped or not, only the same call returns its handle.
    (Step.ASKING, Result.RUNNING): (Step.STOPPING, Action.STOP_LATER),
    (Step.ASKING, Result.STOPPED): (Step.STOPPING, Action.STOP_LATER),
    (Step.ENDING, Result.COPIED): (Step.AT_TARGET, Action.SEND_TO_TARGET),
    (Step.ENDING, Result.KEPT): (Step.AT_SOURCE, Action.SEND_TO_SOURCE),
    (Step.ENDING, Result.REFUSED): (Step.ENDING, Action.STOP_LATER),
    (Step.ENDING, Result.BUSY): (Step.ENDING, Action.STOP_LATER),
    (Step.ENDING, Result.LOST): (Step.ENDING, Action.STOP_LATER),
    (Step.DISCARDING, Result.REFUSED): (Step.DISCARDING, Action.STOP_LATER),
    (Step.DISCARDING, Result.BUSY): (Step.DISCARDING, Action.STOP_LATER),
    (Step.DISCARDING, Result.LOST): (Step.DISCARDING, Action.STOP_LATER),
    (Step.CHECKING, Result.RUNNING): (Step.CHECKING, Action.ASK_LATER),
    (Step.CHECKING, Result.LOST): (Step.CHECKING, Action.ASK_LATER),
    (Step.AT_TARGET, Result.STARTED): (Step.ENDED, Action.DONE),
    (Step.AT_TARGET, Result.NOT_STARTED): (Step.AT_SOURCE, Action.SEND_TO_SOURCE),
    (Step.AT_SOURCE, Result.STARTED): (Step.ENDED, Action.DONE),
}
REPEATED = {Action.COPY_LATER, Action.STOP_LATER, Action.ASK, Action.ASK_LATER}

# Results after which the source doesn't work on the request any more, by step.
STOPPED = (Result.COPIED, Result.KEPT, Result.NO_RUN, Result.GONE)
RUN_ENDS = {
    Step.COPYING: (Result.NO_RUN, Result.GONE),
    Step.STOPPING: STOPPED,
    Step.ASKING: (Result.GONE,),
    Step.ENDING: STOPPED,
    Step.DISCARDING: STOPPED,
    Step.CHECKING: (Result.STOPPED, Result.GONE),
}


class MoveState:
    """State of one move.

    ``handle`` names the copy once an answer has stated it. ``cause`` is the result that
    ended the move without success, empty otherwise. ``run_ended`` is set once the
    source is known not to work on the request any more, and ``calls`` counts the calls.
    """

    def __init__(self, give_up_at=inf):
        self.step = Step.COPYING
        self.handle = ""
        self.cause = ""
        self.run_ended = False
        self.calls = 1
        self._give_up_at = give_up_at

    @property
    def is_stopping(self):
        """Return whether the run was told to stop, so that its stream may end."""
        return self.step in (Step.STOPPING, Step.ASKING)

    @property
    def is_continuing(self):
        """Return whether the request was sent on and its answer is awaited."""
        return self.step in (Step.AT_TARGET, Step.AT_SOURCE)

    @property
    def has_ended(self):
        """Return whether the move makes no more calls."""
        return self.step is Step.ENDED

    def begin(self):
        """Return the first Action."""
        return Action.COPY

    def begin_ending(self, step):
        """Begin with a step after a broken connection; return the first Action."""
        self.step = step
        return Action.ASK if step is Step.CHECKING else Action.STOP

    def use_backup(self, handle):
        """Begin where the engine that keeps a backup takes the place of the source."""
        self.step, self.handle, self.run_ended = Step.AT_SOURCE, handle, True

    def record(self, result, handle="", now=0.0):
        """Apply a Result and return the next Action.

        A result that no step awaits ends the move; so do too many calls, and the time
        at which the source ends.
        """
        self.handle = handle or self.handle
        self.run_ended = self.run_ended or result in RUN_ENDS.get(self.step, ())
        step, action = TRANSITIONS.get((self.step, result), (Step.ENDED, Action.LEAVE))
        if action in REPEATED:
            self.calls += 1
            if self.calls > MAX_CALLS or now >= self._give_up_at:
                step, action = Step.ENDED, Action.LEAVE
        if action is Action.LEAVE:
            self.cause = result.value
        self.step = step
        return action

    def end(self, cause):
        """End the move, whatever it waits for."""
        self.step, self.cause = Step.ENDED, cause
