"""Run one fake: ``python -m tests.fakes ROLE --port 0 [options]``."""

import argparse
import asyncio
import json
import signal

from tests.fakes import cloud, engine, platform, relay, service, store
from tests.fakes.control import listen

ROLES = {
    "engine": engine,
    "service": service,
    "store": store,
    "cloud": cloud,
    "platform": platform,
    "relay": relay,
}


def parse_args():
    """Parse the role and its options."""
    parser = argparse.ArgumentParser(prog="python -m tests.fakes")
    subparsers = parser.add_subparsers(dest="role", required=True)
    for name, module in ROLES.items():
        subparser = subparsers.add_parser(name)
        subparser.add_argument("--port", type=int, default=0)
        module.add_options(subparser)
    return parser.parse_args()


async def run(options):
    """Print the role and its ports as a JSON line, and serve until SIGTERM or SIGINT.

    The relay forwards on a port of its own and is controlled through a second one.
    """
    stopped = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signum, stopped.set)
    app, relay_port = await ROLES[options.role].build(options)
    runner, port = await listen(app, 0 if relay_port else options.port)
    line = {"role": options.role, "port": relay_port or port, "control": port}
    print(json.dumps(line), flush=True)
    await stopped.wait()
    await runner.cleanup()


if __name__ == "__main__":
    asyncio.run(run(parse_args()))
