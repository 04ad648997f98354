"""The command line's subcommands for jobs: submit, status and cancel."""

import argparse
import asyncio
import json
import sys
from pathlib import Path
from typing import Any, NamedTuple

from elmthread.common.clock import seconds
from elmthread.net.http_client import ClientResponse, HttpClient, NoResponseError

CALL_TIMEOUT = seconds(5)


class ApiCall(NamedTuple):
    """A request to a controller."""

    method: str
    path: str
    body: Any


def run(args: argparse.Namespace) -> int:
    """Execute the command, print the response, and return the exit status.

    It is 0 on success, 1 if the request failed, and 2 if it could not be made.
    """
    try:
        call = _make_call(args)
    except (OSError, ValueError) as error:
        print(f"elmthread: {error}", file=sys.stderr)
        return 2
    try:
        response = asyncio.run(_send(args.server, call))
    except (NoResponseError, ValueError) as error:
        print(f"elmthread: no answer: {error}", file=sys.stderr)
        return 1
    print(json.dumps(response.body))
    if response.status in (200, 201):
        return 0
    print(f"elmthread: status {response.status}", file=sys.stderr)
    return 1


def _make_call(args: argparse.Namespace) -> ApiCall:
    if args.verb == "submit":
        return ApiCall("POST", "/submissions", _read_job(args.job))
    if args.verb == "status":
        return ApiCall("GET", f"/submissions/{args.job}", None)
    return ApiCall("POST", f"/submissions/{args.job}/withdraw", {})


def _read_job(path: Path) -> Any:
    """Return the job as parsed from a JSON file, or from standard input if the path is `-`.

    Raises OSError if the file can't be read, and ValueError with its name if it is not JSON.
    """
    from_stdin = str(path) == "-"
    try:
        return json.loads(sys.stdin.read() if from_stdin else path.read_text())
    except ValueError as error:
        raise ValueError(f"{'standard input' if from_stdin else path}: not JSON: {error}") from error


async def _send(server: str, call: ApiCall) -> ClientResponse:
    return await HttpClient(server).call(call.method, call.path, call.body, timeout=CALL_TIMEOUT)
