"""Measurements; each module prints its figures and rewrites its section of a page."""
