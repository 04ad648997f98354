"""Marks the tests listed in KNOWN-RED.txt, and no others, as expected failures, and prints them."""

from collections.abc import Collection, Sequence
from typing import TYPE_CHECKING

import pytest
from _pytest.terminal import TerminalReporter

from tests.known_red import InvalidKnownFailuresError, KnownFailure, read_known_failures

# Failed assertions of the helpers report the compared values, as in test modules: some tests match these messages.
pytest.register_assert_rewrite("tests.world")

if TYPE_CHECKING:
    from xdist.workermanage import WorkerController

KNOWN_FAILURES = pytest.StashKey[list[KnownFailure]]()


def pytest_configure(config: pytest.Config) -> None:
    try:
        config.stash[KNOWN_FAILURES] = read_known_failures(config.rootpath / "KNOWN-RED.txt")
    except InvalidKnownFailuresError as error:
        raise pytest.UsageError(str(error)) from error


def check_listed_tests_exist(config: pytest.Config, collected: Collection[str]) -> None:
    """Raise UsageError if all tests are run and a listed one is not among them."""
    is_filtered = config.option.keyword or config.option.markexpr
    is_full_run = config.args_source is pytest.Config.ArgsSource.TESTPATHS and not is_filtered
    for failure in config.stash[KNOWN_FAILURES]:
        if is_full_run and failure.test not in collected:
            raise pytest.UsageError(f"KNOWN-RED.txt lists a test that does not exist: {failure.test}")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    by_id = {item.nodeid: item for item in items}
    for failure in config.stash[KNOWN_FAILURES]:
        if failure.test in by_id:
            by_id[failure.test].add_marker(pytest.mark.xfail(strict=True, reason=f"{failure.cause} ({failure.issue})"))
    check_listed_tests_exist(config, by_id.keys())


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_node_collection_finished(node: "WorkerController", ids: Sequence[str]) -> None:
    """Check in the main process, as the worker processes of pytest-xdist do not know whether they run all tests."""
    check_listed_tests_exist(node.config, ids)


def pytest_terminal_summary(terminalreporter: TerminalReporter, config: pytest.Config) -> None:
    for failure in config.stash[KNOWN_FAILURES]:
        terminalreporter.write_line(f"known red: {failure.test}: {failure.cause} ({failure.issue})")
