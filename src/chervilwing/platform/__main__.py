"""The entry point on the platform: the gateway with this folder's adapter."""

import os
import sys
from typing import NamedTuple

from returns.result import Failure

from ..exceptions import BadSetting
from ..gateway_settings import FILE_VARIABLE, GATEWAY, read_gateway_settings
from ..gatewayd import read_file, run
from ..logs import NonBlockingSink, set_up_logs
from ..settings import HELP_FLAGS, render_help
from .cloud import PlatformCloud
from .documents import SOURCES
from .headers import DIALECT
from .store import PlatformStore


class Adapter(NamedTuple):
    """What the gateway has to know of the platform."""

    make_store: type = PlatformStore
    make_cloud: type = PlatformCloud
    sources: object = SOURCES
    dialect: object = DIALECT


def read_settings():
    """Return the settings as the platform's file has them now."""
    try:
        text = read_file(os.environ.get(FILE_VARIABLE, ""))
    except (OSError, UnicodeDecodeError) as exc:
        return Failure(BadSetting(f"settings file: {type(exc).__name__}"))
    return read_gateway_settings(sys.argv[1:], os.environ, text)


def main():
    """Run the gateway on the platform: exit 2 on a bad setting."""
    if HELP_FLAGS & set(sys.argv[1:]):
        print(render_help(GATEWAY))
        return 0
    result = read_settings()
    if isinstance(result, Failure):
        print(f"settings: {result.failure()}", file=sys.stderr)
        return 2
    cfg = result.unwrap()
    set_up_logs(cfg, NonBlockingSink(sys.stdout.fileno()))
    run(cfg, Adapter(), read_settings)
    return 0


if __name__ == "__main__":
    sys.exit(main())
