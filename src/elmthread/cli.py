"""The command line: serve, check, rollout status, links, and a user's submit, status and cancel."""

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
# For gc.set_threshold: new objects before a collection, and collections of each generation before the next older.
COLLECTION_THRESHOLDS = (20_000, 20, 50)


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    top = argparse.ArgumentParser(prog="elmthread", description="A cluster scheduler.")
    top.add_argument("--version", action="version", version=f"elmthread {__version__}")
    verbs = top.add_subparsers(dest="verb", required=True)
    _add_controller_commands(verbs)
    _add_user_commands(verbs)
    return top


def _add_controller_commands(verbs: Subparsers) -> None:
    for verb, text in (("serve", "run a controller"), ("check", "check the settings without starting")):
        verbs.add_parser(verb, help=text)
    rollout = verbs.add_parser("rollout", help="tell how far an upgrade of all controllers is")
    rollout_status = rollout.add_subparsers(dest="action", required=True).add_parser(
        "status", help="tell each controller's levels, the active level and what it waits for"
    )
    links = verbs.add_parser("links", help="tell what each controller can confirm of its links")
    for sub in (verbs.choices["serve"], verbs.choices["check"], rollout_status, links):
        sub.add_argument("--config", type=Path, required=True, metavar="FILE", help="the platform's file (TOML)")
        sub.add_argument("--operators", type=Path, metavar="FILE", help="the operators' own settings (TOML)")


def _add_user_commands(verbs: Subparsers) -> None:
    submit = verbs.add_parser("submit", help="submit a job")
    submit.add_argument("job", type=Path, metavar="FILE", help="the job as JSON; - for standard input")
    status = verbs.add_parser("status", help="tell a job's state")
    # `withdraw` is the spelling of earlier versions.
    cancel = verbs.add_parser("cancel", help="cancel a job", aliases=["withdraw"])
    for sub in (status, cancel):
        sub.add_argument("job", metavar="ID")
    for verb in ("submit", "status", "cancel"):
        verbs.choices[verb].add_argument(
            "--server",
            required=True,
            type=_address,
            metavar="HOST:PORT",
            help="the address of a controller or load balancer",
        )


def _address(text: str) -> str:
    try:
        parse_address(text)
    except ValueError:
        raise argparse.ArgumentTypeError(f"not HOST:PORT: {text!r}") from None
    return text


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit code: 0 done, 1 not answered or refused, 2 bad usage or settings."""
    args = make_parser().parse_args(argv)
    logs.configure()
    if args.verb in ("serve", "check", "rollout", "links"):
        return _run_controller_command(args)
    from elmthread.api import command

    return command.run(args)


def _run_controller_command(args: argparse.Namespace) -> int:
    """Run a command that reads the settings; each imports only what it needs."""
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

    # The modules loaded by now stay, and a leader's state is hardly ever garbage: examining all of it
    # would delay every response for nothing.
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
