"""The entry daemon: the wiring of the whole path from callers to upstreams."""

import json
import os
import sys

from circuits import Event, Timer
from circuits.core import BaseComponent, handler
from circuits.core.pollers import EPoll
from returns.pipeline import is_successful

from . import embedded, settings
from .connections import Client
from .dispatch import Dispatcher
from .logs import set_up_logs
from .models import Configuration
from .stats import Stats
from .web import Web, WebHandlers

# Seconds between ticks. Deadlines are this late at most; at 20 a second the ticks of
# all tasks together cost well under the 1.2 % of a core that control may take (letter
# 1).
TICK = 0.05


class tick(Event):
    """Time has passed."""


class Daemon(BaseComponent):
    """Register the tasks of one entry instance and stop them in order."""

    channel = "daemon"

    def __init__(self, cfg):
        super().__init__()
        self.cfg = cfg
        self.poller = EPoll().register(self)
        self.stats = Stats(cfg.stats_pairs)
        self.client = Client(self.poller).register(self)
        self.dispatcher = Dispatcher(cfg, self.client, self.stats).register(self)
        handlers = WebHandlers(self.dispatcher.requested, self.dispatcher.left)
        self.web = Web(cfg, self.poller, handlers).register(self)
        Timer(TICK, tick(), "*", persist=True).register(self)
        if cfg.embedded:
            self._embed()
        self.address = self.web.listen(cfg.listen)

    def _embed(self):
        engine = embedded.EngineServer(self.cfg, self.poller).register(self)
        service = embedded.ServiceServer(self.cfg, self.poller).register(self)
        parts = embedded.make_configuration(self.cfg, engine.listen(), service.listen())
        self.dispatcher.configure(Configuration(1, "embedded", *parts))

    @handler("started", channel="*")
    def _on_started(self, *args):
        """Tell whoever started the process where it listens."""
        line = {"role": "entry", "name": self.cfg.name, "port": self.address.port}
        print(json.dumps(line), flush=True)


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
