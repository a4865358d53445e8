"""Benchmarks; each prints its results and rewrites its section of a page in docs."""
