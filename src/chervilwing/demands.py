"""What one request asks of an upstream, as balancing and admission see it."""

from typing import NamedTuple


class PromptPart(NamedTuple):
    """One part of a prompt; requests that share leading parts share KV cache."""

    name: str
    tokens: int


class Demand(NamedTuple):
    """One request; ``deadline`` is seconds on the gateway's clock.

    Token counts are 0 for work that isn't generation. ``output_tokens`` is the most
    that may be generated, ``expected_tokens`` the caller's guess, which is often far
    off. ``last_event`` is the event after which a resumed stream goes on.
    """

    request_id: str
    deadline: float
    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    last_event: str = ""

    @property
    def subject(self):
        """Return the last part that other requests share, or an empty text."""
        return self.parts[-2].name if len(self.parts) > 1 else ""
