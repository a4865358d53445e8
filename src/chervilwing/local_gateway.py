"""The gateway without a platform, on a file of routes."""

import os
import sys
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure

from .coordination import Sources
from .dialects import PLAIN, Dialect
from .gateway_settings import GATEWAY, read_gateway_settings
from .gatewayd import run
from .local_stores import SOURCES, LocalStore
from .logs import NonBlockingSink, set_up_logs
from .settings import HELP_FLAGS, render_help


class LocalAdapter(NamedTuple):
    """What a gateway takes in place of a platform: a file and its own dialect."""

    make_store: Callable = lambda cfg, client: LocalStore(cfg)
    make_cloud: Callable | None = None
    sources: Sources = SOURCES
    dialect: Dialect = PLAIN


def read_settings():
    """Return the settings of flags and variables."""
    return read_gateway_settings(sys.argv[1:], os.environ)


def main():
    """Run one gateway on a file of routes: exit 2 on a bad setting."""
    if HELP_FLAGS & set(sys.argv[1:]):
        print(render_help(GATEWAY))
        return 0
    result = read_settings()
    if isinstance(result, Failure):
        print(f"settings: {result.failure()}", file=sys.stderr)
        return 2
    cfg = result.unwrap()
    set_up_logs(cfg, NonBlockingSink(sys.stdout.fileno()))
    run(cfg, LocalAdapter(), read_settings)
    return 0


if __name__ == "__main__":
    sys.exit(main())
