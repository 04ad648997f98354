"""Which failures KNOWN-RED.txt permits, and which it does not."""

import shutil
from pathlib import Path

import pytest

TESTS_FOLDER = Path(__file__).parent
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
    """Run the tests in one process and in worker processes: both must come to the same result."""
    count: int = request.param
    return count


def run_pytest(pytester: pytest.Pytester, listed: str | None, processes: int, other: bool = True) -> pytest.RunResult:
    """Run three tests in that many worker processes, or with 0 in the process of pytest itself."""
    folder = pytester.mkpydir("tests")
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(TESTS_FOLDER / name, folder)
    (folder / "test_some.py").write_text(TESTS.format(other=other))
    if listed is not None:
        (pytester.path / "KNOWN-RED.txt").write_text(listed)
    pytester.makeini("[pytest]\ntestpaths = tests\npythonpath = .\n")
    return pytester.runpytest_subprocess("-n", str(processes), "--dist", "worksteal")


LISTED_FAILURE = "tests/test_some.py::test_red, fails, and we know why, issue 7\n"


def test_an_absent_list_permits_no_failure(pytester: pytest.Pytester, processes: int) -> None:
    result = run_pytest(pytester, None, processes)
    assert result.ret == 1
    result.assert_outcomes(passed=2, failed=1)


def test_a_listed_test_may_fail_and_is_printed(pytester: pytest.Pytester, processes: int) -> None:
    result = run_pytest(pytester, LISTED_FAILURE, processes)
    assert result.ret == 0
    result.stdout.fnmatch_lines(["known red: tests/test_some.py::test_red: fails, and we know why (issue 7)"])
    result.assert_outcomes(passed=2, xfailed=1)


@pytest.mark.parametrize(
    ("listed", "other"),
    [
        ("", True),
        (LISTED_FAILURE, False),
        (LISTED_FAILURE + "tests/test_some.py::test_green, does not fail, issue 7\n", True),
        (LISTED_FAILURE + "tests/test_some.py::test_absent, there is none, issue 7\n", True),
        (LISTED_FAILURE + "tests/test_some.py::test_other_red\n", False),
        (LISTED_FAILURE * 4, True),
    ],
    ids=["not listed", "another fails", "a listed one passes", "no such test", "no cause", "more than three"],
)
def test_any_other_failure_or_entry_fails_the_run(
    pytester: pytest.Pytester, listed: str, other: bool, processes: int
) -> None:
    assert run_pytest(pytester, listed, processes, other).ret != 0
