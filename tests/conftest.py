"""Lets the tests that KNOWN-RED.txt lists fail, and only these; prints them."""

from collections.abc import Collection, Sequence
from typing import TYPE_CHECKING

import pytest
from _pytest.terminal import TerminalReporter

from tests.known_red import BadListError, KnownRed, read

# The helpers' assertions say what they found, as those of test modules do: some tests match these messages.
pytest.register_assert_rewrite("tests.world")

if TYPE_CHECKING:
    from xdist.workermanage import WorkerController

LISTED = pytest.StashKey[list[KnownRed]]()


def pytest_configure(config: pytest.Config) -> None:
    try:
        config.stash[LISTED] = read(config.rootpath / "KNOWN-RED.txt")
    except BadListError as error:
        raise pytest.UsageError(str(error)) from error


def check_listed(config: pytest.Config, collected: Collection[str]) -> None:
    """Raise UsageError where all tests are run and one that is listed is not among them."""
    chosen = config.option.keyword or config.option.markexpr
    whole = config.args_source is pytest.Config.ArgsSource.TESTPATHS and not chosen
    for one in config.stash[LISTED]:
        if whole and one.test not in collected:
            raise pytest.UsageError(f"KNOWN-RED.txt names no test of this run: {one.test}")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    by_id = {item.nodeid: item for item in items}
    for one in config.stash[LISTED]:
        if one.test in by_id:
            by_id[one.test].add_marker(pytest.mark.xfail(strict=True, reason=f"{one.cause} ({one.issue})"))
    check_listed(config, by_id.keys())


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_node_collection_finished(node: "WorkerController", ids: Sequence[str]) -> None:
    """Check here, as the worker processes of pytest-xdist do not know whether they run all tests."""
    check_listed(node.config, ids)


def pytest_terminal_summary(terminalreporter: TerminalReporter, config: pytest.Config) -> None:
    for one in config.stash[LISTED]:
        terminalreporter.write_line(f"known red: {one.test}: {one.cause} ({one.issue})")
