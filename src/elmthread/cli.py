"""The command line: serve, check, rollout status and links for operators; submit, status and cancel for users."""

import argparse
import asyncio
import gc
import sys
from pathlib import Path
from typing import TypeAlias

from elmthread import __version__
from elmthread.common import logs
from elmthread.settings import operators, platform
from elmthread.settings.platform import SettingsError, parse_address

Subparsers: TypeAlias = "argparse._SubParsersAction[argparse.ArgumentParser]"

OK, BAD_SETTINGS = 0, 2
# For `gc.set_threshold`: allocations minus deallocations that trigger a collection of generation 0, then how many
# collections of generations 0 and 1 each trigger one of the next generation.
COLLECTION_THRESHOLDS = (20_000, 20, 50)


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    root_parser = argparse.ArgumentParser(prog="elmthread", description="A cluster scheduler.")
    root_parser.add_argument("--version", action="version", version=f"elmthread {__version__}")
    subparsers = root_parser.add_subparsers(dest="verb", required=True)
    _add_controller_commands(subparsers)
    _add_user_commands(subparsers)
    return root_parser


def _add_controller_commands(subparsers: Subparsers) -> None:
    for verb, text in (("serve", "run a controller"), ("check", "check the settings without starting")):
        subparsers.add_parser(verb, help=text)
    rollout = subparsers.add_parser("rollout", help="tell how far an upgrade of all controllers is")
    rollout_status = rollout.add_subparsers(dest="action", required=True).add_parser(
        "status", help="tell each controller's levels, the active level and what it waits for"
    )
    links = subparsers.add_parser("links", help="tell what each controller can confirm of its links")
    for subparser in (subparsers.choices["serve"], subparsers.choices["check"], rollout_status, links):
        subparser.add_argument("--config", type=Path, required=True, metavar="FILE", help="the platform's file (TOML)")
        subparser.add_argument("--operators", type=Path, metavar="FILE", help="the operators' own settings (TOML)")


def _add_user_commands(subparsers: Subparsers) -> None:
    submit = subparsers.add_parser("submit", help="submit a job")
    submit.add_argument("job", type=Path, metavar="FILE", help="the job as JSON; - for standard input")
    status = subparsers.add_parser("status", help="tell a job's state")
    # `withdraw` is the name of `cancel` in earlier versions.
    cancel = subparsers.add_parser("cancel", help="cancel a job", aliases=["withdraw"])
    for subparser in (status, cancel):
        subparser.add_argument("job", metavar="ID")
    for verb in ("submit", "status", "cancel"):
        subparsers.choices[verb].add_argument(
            "--server",
            required=True,
            type=_validate_address,
            metavar="HOST:PORT",
            help="the address of a controller or load balancer",
        )


def _validate_address(text: str) -> str:
    try:
        parse_address(text)
    except ValueError:
        raise argparse.ArgumentTypeError(f"not HOST:PORT: {text!r}") from None
    return text


def main(argv: list[str] | None = None) -> int:
    """Run one command; return 0 on success, 1 if it failed, or 2 if the settings or the job can't be read."""
    args = make_parser().parse_args(argv)
    logs.configure()
    if args.verb in ("serve", "check", "rollout", "links"):
        return _run_controller_command(args)
    from elmthread.api import command

    return command.run(args)


def _run_controller_command(args: argparse.Namespace) -> int:
    """Run a command that reads the settings; each one imports only the modules that it needs."""
    try:
        platform_settings = platform.load(args.config)
        operator_settings = operators.load(args.operators)
    except SettingsError as error:
        print(f"elmthread: {error}", file=sys.stderr)
        return BAD_SETTINGS
    if args.verb == "check":
        print(f"{args.config}: good")
        return OK
    if args.verb == "rollout":
        from elmthread.rollout import command as rollout_command

        return rollout_command.run(platform_settings, operator_settings.rollout)
    if args.verb == "links":
        from elmthread.reachability import command as links_command

        return links_command.run(platform_settings)
    return _serve(platform_settings, operator_settings)


def _serve(platform_settings: platform.PlatformSettings, operator_settings: operators.OperatorSettings) -> int:
    from elmthread.controller import Controller

    # Loaded modules are never freed, and a leader's state hardly ever becomes garbage: scanning all of it
    # in each collection would delay every response and free almost nothing.
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)
    gc.enable()
    try:
        asyncio.run(Controller(platform_settings, operator_settings).run())
    except KeyboardInterrupt:
        pass
    return OK


if __name__ == "__main__":
    sys.exit(main())
