"""The command line's subcommands for jobs."""

import io
from pathlib import Path

import pytest

from elmthread import cli
from elmthread.api import command


def test_cancel_and_withdraw_are_the_same_command() -> None:
    for verb in ("cancel", "withdraw"):
        args = cli.make_parser().parse_args([verb, "--server", "127.0.0.1:1", "run-000412"])
        assert command._make_call(args) == ("POST", "/submissions/run-000412/withdraw", {})


@pytest.mark.parametrize("from_stdin", [False, True])
def test_invalid_json_is_reported_in_one_line_that_names_the_file(
    from_stdin: bool, tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "job.json"
    path.write_text("{name_id")
    monkeypatch.setattr("sys.stdin", io.StringIO("{name_id"))
    assert cli.main(["submit", "--server", "127.0.0.1:1", "-" if from_stdin else str(path)]) == 2
    error = capsys.readouterr().err
    assert error.startswith(f"elmthread: {'standard input' if from_stdin else path}: not JSON: ")
    assert error.count("\n") == 1
