"""A stream goes on at another worker while the worker before still works on it.

Three engines keep backups of each other's runs. One of them resets the connection of a
stream in its middle, and its answer is lost, but it works on the request to its end:
not all workers drop a request when its connection closes.
"""

import os
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2 import (  # noqa: E402
    ENGINE_SERVICE,
    STREAM_ROUTE,
    TENANTS,
    Engines,
    Gateway,
    Store,
    main,
    make_document,
    start_streams,
)

EVENTS, INTERVAL = 91, 0.02
REQUESTS = 40
# Requests are sent this many seconds apart.
SPACING = 0.3
# The disruption: one of three engines loses two in five of the answers that it begins
# in four seconds. The site has a share of 0.6 and 0.4 of the answers for as long.
TROUBLE_FROM, TROUBLE_SECONDS, EVERY = 3.0, 4.0, 2.5
LOST_AFTER_EVENTS = 30
# A worker may still work for so long on what goes on elsewhere.
ALLOWED = 0.4


class Losses:
    """Choose the runs whose answers are lost."""

    def __init__(self, trouble):
        self._trouble, self._lock = trouble, threading.Lock()
        self._begun = self._lost = 0
        self.begins_at = float("inf")

    def __call__(self, run):
        elapsed = time.monotonic() - self.begins_at
        if not self._trouble or run.engine != "i-1":
            return None
        if not 0 <= elapsed < TROUBLE_SECONDS:
            return None
        with self._lock:
            self._begun += 1
            if self._lost >= int(self._begun / EVERY):
                return None
            self._lost += 1
            return LOST_AFTER_EVENTS


def count_broken(runs, record):
    """Return how many runs went on elsewhere while an engine still worked on them."""
    pairs = [(a, b) for a in runs for b in runs if a is not b and a.name == b.name]
    broken = 0
    for before, later in pairs:
        overlap = (before.ended or time.monotonic()) - later.began
        if before.began < later.began and overlap > ALLOWED:
            broken += 1
            record(
                f"TWICE: {later.name} went on at {later.engine}, and "
                f"{before.engine} worked on it for {overlap:.2f} s more"
            )
    return broken


def run(record, temporary, gateways, trouble):
    """Return whether two engines worked on one request for too long."""
    store, losses = Store(), Losses(trouble)
    engines = Engines(store, record, ("a", "b", "c"), EVENTS, INTERVAL, losses)
    document = make_document([STREAM_ROUTE], [ENGINE_SERVICE], TENANTS)
    store.operate("op/config", document)
    gateways.append(Gateway("front-1", store, temporary))
    gateways[0].wait_ready()
    losses.begins_at = time.monotonic() + TROUBLE_FROM
    for thread in start_streams(REQUESTS, SPACING, EVENTS, gateways[0].port, record):
        thread.join()
    time.sleep(EVENTS * INTERVAL)
    broken = count_broken(engines.runs, record)
    record(
        f"{len(engines.runs)} runs of {REQUESTS} requests, {broken} at two at a time"
    )
    return broken > 0


main(FOLDER, run, os.environ.get("TROUBLE", "1") != "0")
