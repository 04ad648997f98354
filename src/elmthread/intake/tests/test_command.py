"""The command line as users spell it."""

from elmthread import cli
from elmthread.intake import command


def test_a_job_is_cancelled_by_either_spelling() -> None:
    for verb in ("cancel", "withdraw"):
        args = cli.parser().parse_args([verb, "--server", "127.0.0.1:1", "run-000412"])
        assert command._request(args) == ("POST", "/submissions/run-000412/withdraw", {})
