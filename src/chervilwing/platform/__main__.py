"""Entry point on the platform: runs the gateway with this package's adapter."""

import os
import sys
from typing import NamedTuple

from returns.result import Failure

from ..exceptions import BadSetting
from ..gateway_settings import FILE_VARIABLE, read_gateway_settings
from ..gatewayd import main, read_file
from .cloud import PlatformCloud
from .documents import SOURCES
from .headers import DIALECT
from .store import PlatformStore


class Adapter(NamedTuple):
    """The platform's store, API, documents and header fields, for the gateway."""

    make_store: type = PlatformStore
    make_cloud: type = PlatformCloud
    sources: object = SOURCES
    dialect: object = DIALECT


def read_settings():
    """Return the current settings as a Result.

    They come from flags, environment variables and the platform's settings file.
    """
    try:
        text = read_file(os.environ.get(FILE_VARIABLE, ""))
    except (OSError, UnicodeDecodeError) as exc:
        return Failure(BadSetting(f"settings file: {type(exc).__name__}"))
    return read_gateway_settings(sys.argv[1:], os.environ, text)


def run():
    """Run the gateway on the platform and return its exit code."""
    return main(Adapter(), read_settings)


if __name__ == "__main__":
    sys.exit(run())
