"""What KNOWN-RED.txt excuses, and what it does not."""

import shutil
from pathlib import Path

import pytest

HERE = Path(__file__).parent
TESTS = """
def test_red():
    assert False

def test_green():
    assert True

def test_other_red():
    assert {other}
"""


@pytest.fixture(params=[0, 2], ids=["one process", "worker processes"])
def processes(request: pytest.FixtureRequest) -> int:
    """Tests run in one process and in several must come to the same verdict."""
    count: int = request.param
    return count


def run(pytester: pytest.Pytester, listed: str | None, processes: int, other: bool = True) -> pytest.RunResult:
    """Run three tests in this many worker processes; 0: in the one process of pytest itself."""
    folder = pytester.mkpydir("tests")
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(HERE / name, folder)
    (folder / "test_some.py").write_text(TESTS.format(other=other))
    if listed is not None:
        (pytester.path / "KNOWN-RED.txt").write_text(listed)
    pytester.makeini("[pytest]\ntestpaths = tests\npythonpath = .\n")
    return pytester.runpytest_subprocess("-n", str(processes), "--dist", "worksteal")


RED = "tests/test_some.py::test_red, fails, and we know why, issue 7\n"


def test_an_absent_list_excuses_nothing(pytester: pytest.Pytester, processes: int) -> None:
    result = run(pytester, None, processes)
    assert result.ret == 1
    result.assert_outcomes(passed=2, failed=1)


def test_a_listed_test_may_fail_and_is_printed(pytester: pytest.Pytester, processes: int) -> None:
    result = run(pytester, RED, processes)
    assert result.ret == 0
    result.stdout.fnmatch_lines(["known red: tests/test_some.py::test_red: fails, and we know why (issue 7)"])
    result.assert_outcomes(passed=2, xfailed=1)


@pytest.mark.parametrize(
    ("listed", "other"),
    [
        ("", True),
        (RED, False),
        (RED + "tests/test_some.py::test_green, does not fail, issue 7\n", True),
        (RED + "tests/test_some.py::test_absent, there is none, issue 7\n", True),
        (RED + "tests/test_some.py::test_other_red\n", False),
        (RED * 4, True),
    ],
    ids=["not listed", "another fails", "a listed one passes", "no such test", "no cause", "more than three"],
)
def test_nothing_else_is_excused(pytester: pytest.Pytester, listed: str, other: bool, processes: int) -> None:
    assert run(pytester, listed, processes, other).ret != 0
