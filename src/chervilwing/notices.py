"""Hear of leaving upstreams: the cloud's notices and the lagging instance list."""

import time

from circuits.core import BaseComponent, handler

from .connections import Call
from .gossip import UPSTREAM, Notice
from .logs import log_event
from .stores import collect_json

# A watch that has gone silent is known by its limit, wait and one connect timeout; then
# a new one must still hear the notice within the 3 s in which work has to stop. Load:
# two watchers a data centre, a call a second each, whatever the size of the fleet.
NOTICE_WAIT = 1.0
RETRY = 1.0
LIST_INTERVAL = 2.0
LEAVING = "leaving"


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
            self._leave(str(row["instance"]), float(row["deadline"]))

    def _leave(self, name, deadline):
        log_event("notice", instance=name, deadline=deadline)
        self._publish(Notice(UPSTREAM, name, deadline))
        self._obey(name, deadline)

    def _obey(self, name, deadline):
        if name == self._cfg.name:
            self._drain()
            return
        self._dispatch.mark_leaving(name, deadline)

    def _read_list(self):
        wait = self._cfg.connect_timeout
        call = Call(self._cfg.instance_list, "GET", "/list", {}, b"", wait, wait)
        self._client.submit(call, collect_json(self._listed))

    def _listed(self, status, value):
        if status != 200 or not isinstance(value, dict):
            return
        for row in value.get("instances", ()):
            if row.get("state") == LEAVING:
                self._obey(str(row.get("name")), 0.0)
