"""A user's side of the interface, for the command line."""

import argparse
import asyncio
import json
import sys
from pathlib import Path
from typing import Any

from elmthread.common.clock import seconds
from elmthread.net.http_client import ClientResponse, HttpClient, NoResponseError

CALL_TIME = seconds(5)


def run(args: argparse.Namespace) -> int:
    try:
        method, path, body = _request(args)
    except (OSError, ValueError) as error:
        print(f"elmthread: {error}", file=sys.stderr)
        return 2
    try:
        answer = asyncio.run(_call(args.server, method, path, body))
    except (NoResponseError, ValueError) as error:
        print(f"elmthread: no answer: {error}", file=sys.stderr)
        return 1
    print(json.dumps(answer.body))
    if answer.status in (200, 201):
        return 0
    print(f"elmthread: status {answer.status}", file=sys.stderr)
    return 1


def _request(args: argparse.Namespace) -> tuple[str, str, Any]:
    if args.verb == "submit":
        return "POST", "/submissions", _read_job(args.job)
    if args.verb == "status":
        return "GET", f"/submissions/{args.job}", None
    return "POST", f"/submissions/{args.job}/withdraw", {}


def _read_job(path: Path) -> Any:
    """The job that a file, or standard input for `-`, holds as JSON. Raises OSError, and ValueError naming the file."""
    from_stdin = str(path) == "-"
    try:
        return json.loads(sys.stdin.read() if from_stdin else path.read_text())
    except ValueError as error:
        raise ValueError(f"{'standard input' if from_stdin else path}: not JSON: {error}") from error


async def _call(server: str, method: str, path: str, body: Any) -> ClientResponse:
    return await HttpClient(server).call(method, path, body, timeout=CALL_TIME)
