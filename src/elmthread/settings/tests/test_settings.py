"""Settings files and operators' expressions: valid ones, and the one-line error for each invalid one."""

from pathlib import Path

import pytest

from elmthread.cli import main
from elmthread.settings import operators, platform
from elmthread.settings.platform import SettingsError
from tests.world.settings import SETTINGS

VALID_SETTINGS = SETTINGS.format(node="loom-0", others="", next="", cancel=30.0)


def test_platform_file_with_unknown_fields() -> None:
    parsed = platform.parse("colour = 1\n" + VALID_SETTINGS)
    assert parsed.node == "loom-0" and parsed.cluster.teams[0].cpu_quota == 12.0
    assert parsed.cluster.teams[1].cpu_quota == float("inf")  # 0: no limit


@pytest.mark.parametrize(
    ("old", "new", "names"),
    [
        ('serve_on = "10.0.0.1:8080"', 'serve_on = "here"', "serve_on"),
        ("lease_s = 12.0", "lease_s = 0", "lease_s"),
        ("lease_s = 12.0", 'lease_s = "long"', "lease_s"),
        ("txn_ops = 8", "", "txn_ops"),
        ("cpus_max = 12.0", "cpus_max = -1.0", "cpus_max"),
        ("value_kb = 8.0", "value_kb = nan", "value_kb"),
        ("[facts]", "[facts", "TOML"),
    ],
)
def test_bad_platform_file_names_the_field(
    old: str, new: str, names: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(VALID_SETTINGS.replace(old, new))
    assert main(["check", "--config", str(path)]) == 2
    error = capsys.readouterr().err
    assert names in error and error.count("\n") == 1


JOB = {
    "job_class": "nightly", "team": "red", "form": "batch", "priority": "high", "tasks": 3, "cpus": 1.0, "cards": 0.0,
    "ram_gb": 1.0, "expected_s": 10.0, "due_s": 0.0, "objective_s": 120.0, "saves": False, "spot": True,
}  # fmt: skip


def test_expressions() -> None:
    custom = operators.parse("urgent = \"team in ('red', 'blue') and not saves\"\ndeadline_s = \"min(60, tasks * 5)\"")
    assert custom.urgent(JOB) and not custom.urgent(JOB | {"team": "green"})
    assert custom.deadline(JOB).total_seconds() == 15
    default = operators.load(None)
    assert default.urgent(JOB) and not default.urgent(JOB | {"priority": "normal"})
    assert default.deadline(JOB).total_seconds() == 120
    assert default.deadline(JOB | {"due_s": 40.0}).total_seconds() == 40
    assert default.deadline(JOB | {"objective_s": 0.0}).total_seconds() == 3600


def test_expression_that_fails_on_a_job_yields_the_default() -> None:
    custom = operators.parse('deadline_s = "100 / (tasks - 3)"')
    assert custom.deadline(JOB).total_seconds() == 3600


@pytest.mark.parametrize(
    "text",
    [
        'urgent = "tasks"',  # a number instead of a truth value
        "urgent = \"team == 'a' or colour\"",
        "urgent = \"tasks > 'a'\"",
        "urgent = \"__import__('os')\"",
        'urgent = "[x for x in (1, 2)]"',
        'urgent = "team.upper() == team"',
        'deadline_s = "9 ** 9 ** 9"',
        'deadline_s = "min(1)"',
        'deadline_s = "1 +"',
        f'deadline_s = "{"1 + " * 100}1"',
        "theta = 2.0",
        "check_s = 0",
        "colour = 1",
    ],
)
def test_bad_operators_settings(text: str) -> None:
    with pytest.raises(SettingsError):
        operators.parse(text)


def test_stricter_of_present_and_next_store_limits_applies() -> None:
    def effective_limits(extra: str) -> tuple[float, float, float, int]:
        state = platform.parse(
            SETTINGS.format(node="loom-0", others="", next=extra, cancel=30.0)
        ).cluster.store.strictest()
        return state.rps, state.write_rps, state.value_kb, state.txn_ops

    now = effective_limits("")
    assert effective_limits("[facts.state.next]") == now
    assert effective_limits("[facts.state.next]\nvalue_kb = 2.0") == (*now[:2], 2.0, now[3])
    assert effective_limits(
        "[facts.state.next]\nvalue_kb = 64.0\ntxn_ops = 4\nwrite_rps = 5.0\nrps = 50.0\nkeys = 9"
    ) == (
        50.0,
        5.0,
        now[2],
        4,
    )
    for bad in ("value_kb = 0.0", "txn_ops = 0", "write_rps = -1.0", "rps = nan", "txn_ops = 'four'"):
        with pytest.raises(SettingsError, match=bad.split()[0]):
            effective_limits(f"[facts.state.next]\n{bad}")


@pytest.mark.parametrize("address", ["NONSENSE", "here:", ":80", "10.0.0.1:99999"])
def test_error_for_an_invalid_address_names_its_option(address: str, capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as exit_info:
        main(["status", "--server", address, "run-000001"])
    assert exit_info.value.code == 2 and "--server" in capsys.readouterr().err
