"""Moves of running streams between engines, and backups of their KV caches."""

from .calls import CallNames, CopyAnswer, MoveCalls, make_move_calls
from .move_state import Action, MoveState, Result
from .planner import (
    BackupBudget,
    Candidate,
    Pace,
    RunningStream,
    choose_backup,
    choose_move,
    choose_target,
    list_cut_off,
)

__all__ = [
    "Action",
    "BackupBudget",
    "CallNames",
    "Candidate",
    "CopyAnswer",
    "MoveCalls",
    "MoveState",
    "Pace",
    "Result",
    "RunningStream",
    "choose_backup",
    "choose_move",
    "choose_target",
    "list_cut_off",
    "make_move_calls",
]
