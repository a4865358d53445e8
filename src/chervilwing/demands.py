"""What a request demands of an upstream, as used by balancing and admission."""

from typing import NamedTuple


class PromptPart(NamedTuple):
    """A part of a prompt; requests with the same leading parts share KV cache."""

    name: str
    tokens: int


class Demand(NamedTuple):
    """Demand of one request; ``deadline`` is in seconds on the gateway's clock.

    Token counts are 0 for requests other than generation. ``output_tokens`` is the
    largest number of tokens that may be generated, ``expected_tokens`` the caller's
    estimate, which is often far off. ``last_event`` is the id of the event after which
    a resumed stream continues, and ``resumes`` the id of the request that brought the
    stream's first event, empty for a new stream. ``band`` is the priority band, None
    where admission by urgency isn't active for the pool.
    """

    request_id: str
    deadline: float
    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    last_event: str = ""
    resumes: str = ""
    band: int | None = None

    @property
    def shared_parts(self):
        """Return the names of all parts but the last, which others may share."""
        return tuple(part.name for part in self.parts[:-1])

    @property
    def subject(self):
        """Return the name of the last part shared with other requests, or ""."""
        return self.parts[-2].name if len(self.parts) > 1 else ""
