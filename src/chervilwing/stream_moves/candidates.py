"""Engines and streams in the form in which the planner compares them."""

from math import ceil

from .planner import Candidate, RunningStream

# Events for which the mean interval of a pool's streams counts in that of one stream:
# after two or three events one late event would triple its expected time.
PRIOR_EVENTS = 10


def list_candidates(pool, excluded, now, names=None):
    """Return the Candidates of a pool that accept requests and aren't excluded.

    ``names`` are the only ones to be considered, None for all.
    """
    states = pool.upstream_states
    found = []
    for name in states if names is None else names:
        registration = states[name].registration
        if registration.leaving or name in excluded:
            continue
        load = states[name].count(now)
        candidate = Candidate(
            name,
            registration.data_centre,
            registration.version,
            load.requests,
            load.tokens,
            # Each running request delays the next one's start by about as much.
            float(load.requests),
        )
        found.append(candidate)
    return found


def make_stream(relay, leaves_at, interval, now):
    """Return the RunningStream of a request; ``interval`` is its pool's mean.

    That counts like PRIOR_EVENTS of the request's own.
    """
    registration, demand = relay.upstream_state.registration, relay.demand
    events = relay.events.count if relay.events else 0
    if events >= 2:
        elapsed = now - relay.first_byte_at + PRIOR_EVENTS * interval
        interval = elapsed / (PRIOR_EVENTS + events - 1)
    return RunningStream(
        relay,
        registration.data_centre,
        relay.upstream_version,
        relay.priority,
        demand.prompt_tokens + demand.output_tokens,
        events,
        count_events(demand.output_tokens, relay.pool.spec.engine),
        interval,
        leaves_at,
        relay.refused_targets,
    )


def count_events(tokens, engine):
    """Return the events of this many generated tokens; ``engine`` is an EngineSpec."""
    return ceil(tokens / max(1, engine.event_tokens))
