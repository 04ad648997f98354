"""A user's side of the interface, for the command line."""

import argparse
import asyncio
import json
import sys
from typing import Any

from elmthread.common.clock import seconds
from elmthread.common.http import Answer, Client, NoResponseError

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
        text = sys.stdin.read() if str(args.job) == "-" else args.job.read_text()
        return "POST", "/submissions", json.loads(text)
    if args.verb == "status":
        return "GET", f"/submissions/{args.job}", None
    return "POST", f"/submissions/{args.job}/withdraw", {}


async def _call(server: str, method: str, path: str, body: Any) -> Answer:
    return await Client(server).call(method, path, body, timeout=CALL_TIME)
