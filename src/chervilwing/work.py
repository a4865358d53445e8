"""Input and output types of the scheduler."""

from typing import NamedTuple

from .exceptions import ChervilwingError
from .models import MODEL

# Outcomes of an attempt, as reported by the owner of its connection.
OK = "ok"
FAILED = "failed"
SILENT = "silent"
PATH = "path"  # silent on an old connection, but reachable on a new one
BUSY = "busy"  # refused by the upstream, so not run
EXHAUSTED = "exhausted"  # refused: a resource that other upstreams share is used up
LEAVING = "leaving"  # the upstream is about to go away
CANCELLED = "cancelled"  # ended by this instance


class Work(NamedTuple):
    """One request as the scheduler sees it.

    ``deadline`` is a monotonic time in seconds, like the ``now`` that the scheduler's
    methods receive. ``prefix`` is a hash of the prompt's beginning, by which requests
    share a KV cache, or empty. ``tokens`` is the number of tokens already streamed.
    ``moves`` counts the ``attempts`` that ended only because their upstream was
    leaving. ``keeper`` is the upstream that holds the KV cache of the prompt and these
    tokens, if any. ``model`` is the model version chosen for this request.
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
    """A request to send to an upstream now; ``cost`` is in decoded tokens."""

    request_id: str
    upstream: str
    cost: float


class Refusal(NamedTuple):
    """The final failure of a request that is not run or not retried."""

    request_id: str
    exc: ChervilwingError
