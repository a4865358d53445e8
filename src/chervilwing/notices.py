"""Watch the cloud's notices and its instance list for leaving upstreams."""

import time

from circuits.core import BaseComponent, handler

from .connections import Call
from .exceptions import DECODE_ERRORS
from .gossip import UPSTREAM, Notice
from .logs import log_event
from .models import MODEL, Address, Upstream
from .stores import collect_json_response

# Seconds for which one watch on the notices waits. A watch without a reply is given up
# after this time plus the connect timeout, and the next watch must still receive the
# notice within 3 s, when new work has to stop. So each watcher makes about one call per
# second; there are two watchers in each data centre, whatever the size of the fleet.
NOTICE_WAIT = 1.0
# Seconds before a failed watch is repeated, and between two reads of the list.
RETRY_DELAY = 1.0
LIST_INTERVAL = 2.0
LEAVING = "leaving"


def read_listed_upstream(row):
    """Return the Upstream that a row of the instance list adds to a pool, or None."""
    try:
        return read_upstream(row) if row.get("pool") else None
    except DECODE_ERRORS:
        # A malformed row must not prevent reading the others.
        return None


def read_upstream(row):
    """Return the Upstream of a row; the directory later sets its kind from its pool."""
    return Upstream(
        str(row["name"]),
        MODEL,
        str(row["pool"]),
        Address(str(row["host"]), int(row["port"])),
        str(row["data_centre"]),
        machine_class=str(row.get("machine_class", "standard")),
        zone=str(row.get("zone", "")),
    )


def read_notice(row):
    """Return the number, instance and deadline in Unix seconds of a notice."""
    return int(row["seq"]), str(row["instance"]), float(row["deadline"])


class Notices(BaseComponent):
    """Take leaving upstreams out of service and gossip their notices.

    A leaving upstream must get no new work after 3 s, although the instance list lags
    and the notice may reach a single instance. So each notice is published to all.
    """

    channel = "notices"

    def __init__(self, cfg, client, dispatcher, publish, is_watcher, drain):
        super().__init__()
        self._cfg = cfg
        self._client = client
        self._dispatch = dispatcher
        self._publish = publish
        self._is_watcher = is_watcher
        self._drain = drain
        self._last_seq = 0
        self._watching = False
        self._notice_due = 0.0
        self._list_due = 0.0

    def receive_notice(self, notice):
        """Apply a notice that was received from a peer."""
        self._apply_notice(notice.name, notice.deadline)

    @handler("tick", channel="*")
    def _on_tick(self):
        now = time.monotonic()
        due = not self._watching and now >= self._notice_due
        # Only a data centre's watchers watch the notices, so that the number of calls
        # doesn't grow with the fleet. All instances read the list as well, in case the
        # watchers are frozen.
        if self._cfg.cloud and due and self._is_watcher():
            self._watch()
        if self._cfg.instance_list and now >= self._list_due:
            self._list_due = now + LIST_INTERVAL
            self._read_list()

    def _watch(self):
        self._watching = True
        path = f"/notices?after={self._last_seq}&wait={NOTICE_WAIT:g}"
        silence_timeout = NOTICE_WAIT + self._cfg.connect_timeout
        call = Call(
            self._cfg.cloud,
            "GET",
            path,
            {},
            connect_timeout=self._cfg.connect_timeout,
            silence_timeout=silence_timeout,
        )
        self._client.submit(call, collect_json_response(self._on_notices, self._watch))

    def _on_notices(self, status, value):
        self._watching = False
        if status != 200 or not isinstance(value, dict):
            self._notice_due = time.monotonic() + RETRY_DELAY
            return
        for row in value.get("notices") or ():
            try:
                seq, name, deadline = read_notice(row)
            except DECODE_ERRORS:
                log_event("notice ignored")
                continue
            self._last_seq = max(self._last_seq, seq)
            self.announce_leaving(name, deadline)

    def announce_leaving(self, name, deadline):
        """Gossip and apply that an upstream leaves by ``deadline`` (Unix seconds)."""
        log_event("notice", instance=name, deadline=deadline)
        self._publish(Notice(UPSTREAM, name, deadline))
        self._apply_notice(name, deadline)

    def _apply_notice(self, name, deadline):
        if name == self._cfg.name:
            self._drain(deadline)
            return
        self._dispatch.mark_leaving(name, deadline)

    def _read_list(self):
        wait = self._cfg.connect_timeout
        call = Call(self._cfg.instance_list, "GET", "/list", {}, b"", wait, wait)
        self._client.submit(call, collect_json_response(self._on_list))

    def _on_list(self, status, value):
        if status != 200 or not isinstance(value, dict):
            return
        listed = {}
        for row in value.get("instances") or ():
            if not isinstance(row, dict):
                continue
            if row.get("state") == LEAVING:
                self._apply_notice(str(row.get("name")), 0.0)
            upstream = read_listed_upstream(row)
            if upstream is not None:
                listed[upstream.name] = upstream
        self._dispatch.update_listed(listed)
