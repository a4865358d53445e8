"""The data that goes in and out of the scheduler."""

from typing import NamedTuple

from .exceptions import ChervilwingError
from .models import MODEL

# Outcomes of an attempt, as the task that owns the connection tells them.
OK = "ok"
FAILED = "failed"
SILENT = "silent"
PATH = "path"
BUSY = "busy"
EXHAUSTED = "exhausted"
LEAVING = "leaving"
CANCELLED = "cancelled"


class Work(NamedTuple):
    """One request as the scheduler sees it.

    ``deadline`` is in seconds on the caller's clock, the same that ``now`` is read
    from. ``prefix`` is a hash of the prompt's beginning, empty
    when there is none worth keeping together. ``tokens`` were already streamed.
    ``moves`` of the ``attempts`` ended only because their upstream was leaving.
    ``keeper`` is the upstream that has the KV cache of prompt and tokens, if any.
    ``model`` is the version chosen for this request.
    """

    request_id: str
    customer: str
    work_class: str
    pool: str
    deadline: float
    kind: str = MODEL
    target: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix: str = ""
    excluded: frozenset = frozenset()
    idempotent: bool = True
    tokens: int = 0
    attempts: int = 0
    moves: int = 0
    keeper: str = ""
    model: str = ""


class Placement(NamedTuple):
    """Send this request to this upstream now; ``cost`` is in decoded tokens."""

    request_id: str
    upstream: str
    cost: float


class Refusal(NamedTuple):
    """The final answer to a request that was given up on."""

    request_id: str
    exc: ChervilwingError
