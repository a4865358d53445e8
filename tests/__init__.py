"""Tests of chervilwing; `python -m tests` runs them all."""
