"""Measurements of the decisions under load: python -m bench.load, bench.decision."""
