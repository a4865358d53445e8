"""The entry daemon ``chervilwingd``: create and connect its components.

A request passes through Web, Dispatcher and Client to an upstream. Peers and Follower
supply the configuration, Notices and LoadPoller the state of the upstreams, and
Claimant records calls that must not be repeated.
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
from .caller_budget import CallerBudget
from .claimant import Claimant
from .connections import Client
from .dispatch import Dispatcher
from .drain import Drain
from .follower import Follower
from .gossip import LIVE, Notice, Record
from .gossip_settings import MembershipSettings
from .loads import LoadPoller
from .logs import log_event, set_up_logs
from .machines import read_machine_limits, return_large_blocks
from .membership import Membership
from .models import Address
from .notices import Notices
from .orderer import Orderer
from .peers import Peers
from .pollers import DirectPoller
from .reconnects import Reconnects
from .request_reader import ReaderOptions
from .stats import Stats
from .stores import Store
from .ticks import tick
from .web import Web, WebHandlers, WebOptions

# Seconds between ticks, and thus how late a deadline is noticed at most. With 10 ticks
# a second all components together stay within the 1.2 % of a core that the control
# plane may use.
TICK = 0.1

# A model call's body is in memory as it came, as the decoded prompt, and as the body of
# the call to the engine, in which characters can take more bytes.
BODY_COPIES = 4


class Daemon(BaseComponent):
    """Own all components of one entry instance."""

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
        self._join_peers()
        self._register_platform_tasks()
        self._add_operator_paths()
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
        handlers = WebHandlers(
            self._dispatch.handle_request,
            self._dispatch.handle_disconnect,
            self._dispatch.refuse,
        )
        budget = self._budget = CallerBudget(read_machine_limits(self.cfg))
        options = WebOptions(
            reader=ReaderOptions(
                check_head=self._dispatch.check_head, copies=BODY_COPIES
            )
        )
        self._web = Web(
            self.cfg, self._poller, handlers, options=options, budget=budget
        ).register(self)
        self._address = self._web.listen(self.cfg.listen)

    def _join_peers(self):
        cfg = self.cfg
        # Listen first: the member record contains the bound port.
        self._peers = Peers(self._poller, self._receive_update, self._budget).register(
            self
        )
        address = self._peers.listen(cfg.peer_listen)
        self._peer_address = Address(*address)
        record = Record(
            cfg.name,
            cfg.peer_address or self._peer_address,
            cfg.data_centre,
            cfg.region,
            LIVE,
            # The start time in ms: a restarted instance supersedes its old record.
            int(time.time() * 1000),
        )
        self._membership = Membership(MembershipSettings(), record, random.Random())
        self._membership.set_seeds(cfg.peers)
        self._peers.set_membership(self._membership)

    def _register_platform_tasks(self):
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
        LoadPoller(cfg, self._client, dispatcher).register(self)
        self._buyer = Buyer(
            cfg, store, self._client, dispatcher, self._notices.announce_leaving
        ).register(self)
        self._orderer = Orderer(cfg, store, self._client, dispatcher).register(self)

    def _add_operator_paths(self):
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

    def _receive_update(self, update):
        if isinstance(update.item, Notice):
            self._notices.receive_notice(update.item)
        elif isinstance(update.item, Record):
            self._update_members()
        else:
            self._follower.receive_value(update.value)

    def _update_members(self):
        live = [item for item in self._membership.members() if item.state == LIVE]
        self._follower.enlist({item.name: item.data_centre for item in live})
        self._claimant.enlist([item.name for item in live])
        self._reconnects.enlist(self._membership.members())
        local = [item.name for item in live if item.data_centre == self.cfg.data_centre]
        self._orderer.enlist(local)
        self._buyer.enlist([item.name for item in live])
        self._dispatch.scheduler.update_entries(max(1, len(live)))

    @handler("started", channel="*")
    def _on_started(self, *args):
        """Start to follow the configuration."""
        self._follower.begin({self.cfg.name: self.cfg.data_centre})
        log_event("started", **settings.describe(self.cfg))

    @handler("tick", channel="*")
    def _on_tick(self):
        """Print the instance's ports once, as one line of JSON.

        With an embedded store, wait until the configuration has been read from it: a
        call sent as soon as the line is printed would otherwise be refused.
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
        """Start a planned stop on SIGTERM or SIGINT."""
        event.stop()
        self._drain.begin()


def main():
    """Run ``chervilwingd``; return the exit status, 2 for an invalid setting."""
    if settings.HELP_FLAGS & set(sys.argv[1:]):
        print(settings.render_help())
        return 0
    result = settings.read_settings(sys.argv[1:], os.environ)
    if not is_successful(result):
        print(f"chervilwingd: {result.failure()}", file=sys.stderr)
        return 2
    cfg = result.unwrap()
    set_up_logs(cfg, sys.stderr)
    return_large_blocks()
    Daemon(cfg).run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
