"""Tests of chervilwing; run them all with ``python -m tests``."""

from loguru import logger

# The log lines of the code under test would hide the test results.
logger.remove()
