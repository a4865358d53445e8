"""Tests of chervilwing; ``python -m tests`` runs them all."""

from loguru import logger

# What the code under test logs in a test's own process would drown the verdict.
logger.remove()
