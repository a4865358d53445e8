"""Define the command line of the operators' tool ``chervilwing``."""

import os
import sys
from typing import Annotated

import typer

from . import fleet_commands
from .clients import Options
from .config_commands import config_app, make_part_app
from .console import EXIT_HELP, JsonOption, quit_with, show
from .documents import hash_key
from .exceptions import BadSetting
from .settings import parse_addresses, parse_optional_address

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    epilog=EXIT_HELP,
)
key_app = typer.Typer(no_args_is_help=True, help="API keys.")


@app.callback()
def read_options(
    ctx: typer.Context,
    store: Annotated[
        str,
        typer.Option(
            envvar="CHERVILWING_STORE", help="HOST:PORT of the key-value service"
        ),
    ] = "",
    instance: Annotated[
        list[str] | None,
        typer.Option(help="HOST:PORT of an entry instance; may be repeated"),
    ] = None,
    instance_list: Annotated[
        str,
        typer.Option(
            "--list",
            envvar="CHERVILWING_INSTANCE_LIST",
            help="HOST:PORT of the instance list",
        ),
    ] = "",
    timeout: Annotated[
        float, typer.Option(min=0.01, help="seconds for each call")
    ] = 5.0,
    pause: Annotated[
        float, typer.Option(min=0, help="seconds between two attempts")
    ] = 1.0,
):
    """Edit the configuration of chervilwing and show the state of its instances."""
    addresses = ",".join(instance or ()) or os.environ.get("CHERVILWING_INSTANCES", "")
    try:
        ctx.obj = Options(
            store=parse_optional_address(store),
            instances=parse_addresses(addresses),
            instance_list=parse_optional_address(instance_list),
            timeout=timeout,
            pause=pause,
            # Read from the environment only: other users of the machine can read the
            # arguments of a process.
            operator_key=os.environ.get("CHERVILWING_OPERATOR_KEY", ""),
        )
    except ValueError as exc:
        quit_with(BadSetting(str(exc)))


@key_app.command("hash")
def print_key_hash(as_json: JsonOption = False):
    """Read an API key from stdin and print its digest for ``key_hashes`` in the rules.

    The key is not an argument, as other users of the machine can read arguments.
    """
    digest = hash_key(sys.stdin.readline().strip())
    show({"key_hash": digest}, as_json, lambda: digest)


for part_name in ("inventory", "rules"):
    app.add_typer(make_part_app(part_name), name=part_name)
app.add_typer(config_app, name="config")
for command in fleet_commands.COMMANDS:
    app.command()(command)
app.add_typer(key_app, name="key")


def main():
    """Run the operators' tool."""
    app()


if __name__ == "__main__":
    main()
