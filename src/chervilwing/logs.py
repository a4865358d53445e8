"""Structured logs: one line for each finished request."""

from loguru import logger


def log_request(session):
    """Write the line of a finished request; never a prompt, a key or a body."""
    logger.bind(
        request_id=session.request_id,
        customer=session.target.customer.name,
        work_class=session.target.work_class.name,
        upstream=session.upstream.name if session.upstream else None,
        tries=session.tries,
        tokens=session.tokens,
        recomputed=session.recomputed,
        outcome=session.outcome,
    ).info("request")
