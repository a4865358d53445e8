"""Hear of leaving upstreams: the cloud's notices and the lagging instance list."""

import time

from circuits.core import BaseComponent, handler

from .connections import Call
from .gossip import UPSTREAM, Notice
from .logs import log_event
from .models import MODEL, Address, Upstream
from .stores import collect_json

# A watch that has gone silent is known by its limit, wait and one connect timeout; then
# a new one must still hear the notice within the 3 s in which work has to stop. Load:
# two watchers a data centre, a call a second each, whatever the size of the fleet.
NOTICE_WAIT = 1.0
RETRY = 1.0
LIST_INTERVAL = 2.0
LEAVING = "leaving"


def read_listed(row):
    """Return the upstream that a row of the instance list adds to a pool, or None."""
    try:
        return read_upstream(row) if row.get("pool") else None
    except (KeyError, TypeError, ValueError):
        # Guard: one row that can't be read must not keep all the others out.
        return None


def read_upstream(row):
    """Return the upstream that a row names; the directory sets its pool's kind."""
    return Upstream(
        str(row["name"]),
        MODEL,
        str(row["pool"]),
        Address(str(row["host"]), int(row["port"])),
        str(row["data_centre"]),
        machine_class=str(row.get("machine_class", "standard")),
        zone=str(row.get("zone", "")),
    )


class Notices(BaseComponent):
    """Take leaving upstreams out of service and tell the other instances.

    A leaving upstream receives no new work after a few seconds (brief) although the
    list lags and the notice may reach one instance only: whoever hears it passes it on.
    """

    channel = "notices"

    def __init__(self, cfg, client, dispatcher, publish, elected, drain):
        super().__init__()
        self._cfg = cfg
        self._client = client
        self._dispatch = dispatcher
        self._publish = publish
        self._elected = elected
        self._drain = drain
        self._seen = 0
        self._waiting = False
        self._notice_due = 0.0
        self._list_due = 0.0

    def hear(self, notice):
        """Act on a notice from a peer."""
        self._obey(notice.name, notice.deadline)

    @handler("tick", channel="*")
    def _on_tick(self):
        now = time.monotonic()
        due = not self._waiting and now >= self._notice_due
        # Load: a watch of each instance on the cloud. Harm: calls that grow with the
        # fleet. A data centre's watchers hear for all; the list is the others' second
        # source, should the watchers be frozen.
        if self._cfg.cloud and due and self._elected():
            self._watch()
        if self._cfg.instance_list and now >= self._list_due:
            self._list_due = now + LIST_INTERVAL
            self._read_list()

    def _watch(self):
        self._waiting = True
        path = f"/notices?after={self._seen}&wait={NOTICE_WAIT:g}"
        silence = NOTICE_WAIT + self._cfg.connect_timeout
        call = Call(
            self._cfg.cloud,
            "GET",
            path,
            {},
            connect_timeout=self._cfg.connect_timeout,
            silence_timeout=silence,
        )
        self._client.submit(call, collect_json(self._noticed, self._watch))

    def _noticed(self, status, value):
        self._waiting = False
        if status != 200 or not isinstance(value, dict):
            self._notice_due = time.monotonic() + RETRY
            return
        for row in value.get("notices", ()):
            self._seen = max(self._seen, int(row["seq"]))
            self.leave(str(row["instance"]), float(row["deadline"]))

    def leave(self, name, deadline):
        """Tell all instances that an upstream leaves."""
        log_event("notice", instance=name, deadline=deadline)
        self._publish(Notice(UPSTREAM, name, deadline))
        self._obey(name, deadline)

    def _obey(self, name, deadline):
        if name == self._cfg.name:
            self._drain(deadline)
            return
        self._dispatch.mark_leaving(name, deadline)

    def _read_list(self):
        wait = self._cfg.connect_timeout
        call = Call(self._cfg.instance_list, "GET", "/list", {}, b"", wait, wait)
        self._client.submit(call, collect_json(self._listed))

    def _listed(self, status, value):
        if status != 200 or not isinstance(value, dict):
            return
        listed = {}
        for row in value.get("instances", ()):
            if row.get("state") == LEAVING:
                self._obey(str(row.get("name")), 0.0)
            upstream = read_listed(row)
            if upstream is not None:
                listed[upstream.name] = upstream
        self._dispatch.update_listed(listed)
