"""Entry point of the gateway without a platform, configured by a file of routes."""

import os
import sys
from collections.abc import Callable
from typing import NamedTuple

from .coordination import StoreLayout
from .dialects import PLAIN, Dialect
from .gateway_settings import read_gateway_settings
from .gatewayd import main
from .local_stores import SOURCES, LocalStore


class LocalAdapter(NamedTuple):
    """Replacement for a platform: a store filled from a file, and the plain dialect."""

    make_store: Callable = lambda cfg, client: LocalStore(cfg)
    make_cloud: Callable | None = None
    sources: StoreLayout = SOURCES
    dialect: Dialect = PLAIN


def read_settings():
    """Return the settings from flags and environment variables as a Result."""
    return read_gateway_settings(sys.argv[1:], os.environ)


if __name__ == "__main__":
    sys.exit(main(LocalAdapter(), read_settings))
