"""The entry daemon: the wiring of the whole path from callers to upstreams.

Callers -> Web -> Dispatcher -> Client -> upstreams. Beside it stand the tasks that keep
the dispatcher's knowledge fresh: Peers and Follower for the configuration, Notices and
Loads for the upstreams, Claimant for calls that may not be repeated.
"""

import json
import os
import random
import sys
import time

from circuits import Timer
from circuits.core import BaseComponent, handler
from returns.pipeline import is_successful

from . import embedded, settings
from .admin import Admin
from .buyer import Buyer
from .claimant import Claimant
from .connections import Client
from .dispatch import Dispatcher
from .drain import Drain
from .follower import Follower
from .gossip import LIVE, Notice, Record
from .gossip_settings import MembershipSettings
from .loads import Loads
from .logs import log_event, set_up_logs
from .membership import Membership
from .models import Address
from .notices import Notices
from .orderer import Orderer
from .peers import Peers
from .pollers import DirectPoller
from .reconnects import Reconnects
from .stats import Stats
from .stores import Store
from .ticks import tick
from .web import Web, WebHandlers

# Seconds between ticks. Deadlines are this late at most; at 10 a second the ticks of
# all tasks together stay within the 1.2 % of a core that control may take (letter 1).
TICK = 0.1


class Daemon(BaseComponent):
    """Register the tasks of one entry instance."""

    channel = "daemon"

    def __init__(self, cfg):
        super().__init__()
        self._announced = False
        self._poller = DirectPoller().register(self)
        self._client = Client(self._poller).register(self)
        if cfg.embedded:
            cfg = self._embed(cfg)
        self.cfg = cfg
        self._serve_callers()
        self._meet_peers()
        self._follow_platform()
        self._answer_operators()
        Timer(TICK, tick(), "*", persist=True).register(self)

    def _embed(self, cfg):
        store = embedded.StoreServer(cfg, self._poller).register(self)
        engine = embedded.EngineServer(cfg, self._poller).register(self)
        service = embedded.ServiceServer(cfg, self._poller).register(self)
        store.seed(embedded.make_document(cfg, engine.listen(), service.listen()))
        return cfg._replace(store=store.listen())

    def _serve_callers(self):
        stats = Stats(self.cfg.stats_pairs)
        self._dispatch = Dispatcher(self.cfg, self._client, stats).register(self)
        handlers = WebHandlers(self._dispatch.requested, self._dispatch.left)
        self._web = Web(self.cfg, self._poller, handlers).register(self)
        self._address = self._web.listen(self.cfg.listen)

    def _meet_peers(self):
        cfg = self.cfg
        # The port is known only once it is bound, and the record carries it.
        self._peers = Peers(self._poller, self._hear).register(self)
        address = self._peers.listen(cfg.peer_listen)
        self._peer_address = Address(*address)
        record = Record(
            cfg.name,
            cfg.peer_address or self._peer_address,
            cfg.data_centre,
            cfg.region,
            LIVE,
            # A restarted instance must outrank its own past.
            int(time.time() * 1000),
        )
        self._membership = Membership(MembershipSettings(), record, random.Random())
        self._membership.join(cfg.peers)
        self._peers.adopt(self._membership)

    def _follow_platform(self):
        cfg, dispatcher = self.cfg, self._dispatch
        store = Store(cfg, self._client)
        self._claimant = Claimant(cfg, store, self._peers).register(self)
        dispatcher.claimant = self._claimant
        self._reconnects = Reconnects(cfg, dispatcher, self._peers).register(self)
        dispatcher.reconnects = self._reconnects
        self._follower = Follower(
            cfg, store, self._publish_revision, dispatcher
        ).register(self)
        self._notices = Notices(
            cfg,
            self._client,
            dispatcher,
            self._publish,
            lambda: self._follower.revisions.elected,
            lambda deadline: self._drain.begin(deadline),
        ).register(self)
        Loads(cfg, self._client, dispatcher).register(self)
        self._buyer = Buyer(
            cfg, store, self._client, dispatcher, self._notices.leave
        ).register(self)
        self._orderer = Orderer(cfg, store, self._client, dispatcher).register(self)

    def _answer_operators(self):
        self._drain = Drain(
            self.cfg,
            self._dispatch,
            self._web,
            self._claimant,
            self._leave,
            self._reconnects,
        ).register(self)
        admin = Admin(
            self.cfg,
            self._dispatch,
            self._follower.explain_not_ready,
            self._membership.describe,
            self._drain.begin,
            lambda: (self._orderer.describe(), self._buyer.describe()),
        )
        for (method, path), serve in admin.routes.items():
            self._dispatch.add_route(method, path, serve)

    def _publish(self, notice):
        self._peers.apply(self._membership.publish(notice, time.time()))

    def _publish_revision(self, number, value):
        self._membership.publish_revision(number, value, time.time())

    def _leave(self):
        self._membership.leave()

    def _hear(self, heard):
        if isinstance(heard.item, Notice):
            self._notices.hear(heard.item)
        elif isinstance(heard.item, Record):
            self._enlist()
        else:
            self._follower.hear(heard.value)

    def _enlist(self):
        live = [item for item in self._membership.members() if item.state == LIVE]
        self._follower.enlist({item.name: item.data_centre for item in live})
        self._claimant.enlist([item.name for item in live])
        self._reconnects.enlist(self._membership.members())
        here = [item.name for item in live if item.data_centre == self.cfg.data_centre]
        self._orderer.enlist(here)
        self._buyer.enlist([item.name for item in live])
        self._dispatch.scheduler.update_entries(max(1, len(live)))

    @handler("started", channel="*")
    def _on_started(self, *args):
        """Begin to follow the configuration."""
        self._follower.begin({self.cfg.name: self.cfg.data_centre})
        log_event("started", **settings.describe(self.cfg))

    @handler("tick", channel="*")
    def _on_tick(self):
        """Tell once where the instance listens.

        An embedded store answers at the first ticks; a newcomer's first call, sent as
        soon as the line shows, would be told that there is no configuration yet.
        """
        waiting = self.cfg.embedded and self._dispatch.directory is None
        if self._announced or waiting:
            return
        self._announced = True
        line = {
            "role": "entry",
            "name": self.cfg.name,
            "port": self._address.port,
            "peer_port": self._peer_address.port,
        }
        print(json.dumps(line), flush=True)

    @handler("signal", channel="*", priority=1)
    def _on_signal(self, event, number, stack):
        """Turn SIGTERM and SIGINT into a planned stop."""
        event.stop()
        self._drain.begin()


def main():
    """Run ``chervilwingd``: exit 2 on a bad setting."""
    if settings.HELP_FLAGS & set(sys.argv[1:]):
        print(settings.render_help())
        return 0
    result = settings.read_settings(sys.argv[1:], os.environ)
    if not is_successful(result):
        print(f"chervilwingd: {result.failure()}", file=sys.stderr)
        return 2
    cfg = result.unwrap()
    set_up_logs(cfg, sys.stderr)
    Daemon(cfg).run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
