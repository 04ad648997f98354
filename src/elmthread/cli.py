"""The command line: serve, check, rollout status, links, and a user's submit, status and cancel."""

import argparse
import asyncio
import gc
import sys
from pathlib import Path

from elmthread import __version__
from elmthread.common import logs
from elmthread.settings import operators, platform
from elmthread.settings.platform import SettingsError, split_address

OK, FAILED, BAD_SETTINGS = 0, 1, 2
# New objects before a collection, and younger collections before older ones.
COLLECT = (20_000, 20, 50)


def parser() -> argparse.ArgumentParser:
    """The command line's grammar."""
    top = argparse.ArgumentParser(prog="elmthread", description="A cluster scheduler.")
    top.add_argument("--version", action="version", version=f"elmthread {__version__}")
    verbs = top.add_subparsers(dest="verb", required=True)
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
    submit = verbs.add_parser("submit", help="submit a job")
    submit.add_argument("job", type=Path, metavar="FILE", help="the job as JSON; - for standard input")
    status = verbs.add_parser("status", help="tell a job's state")
    # The spelling of earlier versions goes on working.
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
    return top


def _address(text: str) -> str:
    try:
        split_address(text)
    except ValueError:
        raise argparse.ArgumentTypeError(f"not HOST:PORT: {text!r}") from None
    return text


def main(argv: list[str] | None = None) -> int:
    """Runs one command and returns its exit code: 0 done, 1 not answered or refused, 2 bad usage or settings."""
    args = parser().parse_args(argv)
    logs.set_up()
    if args.verb in ("serve", "check", "rollout", "links"):
        try:
            facts = platform.load(args.config)
            own = operators.load(args.operators)
        except SettingsError as error:
            print(f"elmthread: {error}", file=sys.stderr)
            return BAD_SETTINGS
        if args.verb == "check":
            print(f"{args.config}: good")
            return OK
        if args.verb == "rollout":
            from elmthread.rollout import command as rollout_command

            return rollout_command.run(facts, own.rollout)
        if args.verb == "links":
            from elmthread.reachability import command as links_command

            return links_command.run(facts)
        # Only a controller that really starts pays for loading the rest.
        from elmthread.controller import Controller

        # What is loaded by now stays; and what a leader knows is hardly ever garbage, so looking
        # through all of it, which holds up every answer, is seldom worth its time.
        gc.freeze()
        gc.set_threshold(*COLLECT)
        gc.enable()

        try:
            asyncio.run(Controller(facts, own).run())
        except KeyboardInterrupt:
            pass
        return OK
    from elmthread.api import command

    return command.run(args)


if __name__ == "__main__":
    sys.exit(main())
