"""Lets the tests that KNOWN-RED.txt lists fail, and only these; prints them."""

import pytest
from _pytest.terminal import TerminalReporter

from tests.known_red import BadListError, KnownRed, read

LISTED = pytest.StashKey[list[KnownRed]]()


def pytest_configure(config: pytest.Config) -> None:
    try:
        config.stash[LISTED] = read(config.rootpath / "KNOWN-RED.txt")
    except BadListError as error:
        raise pytest.UsageError(str(error)) from error


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    by_id = {item.nodeid: item for item in items}
    chosen = config.option.keyword or config.option.markexpr
    whole = config.args_source is pytest.Config.ArgsSource.TESTPATHS and not chosen
    for one in config.stash[LISTED]:
        item = by_id.get(one.test)
        if item is not None:
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"{one.cause} ({one.issue})"))
        elif whole:
            raise pytest.UsageError(f"KNOWN-RED.txt names no test of this run: {one.test}")


def pytest_terminal_summary(terminalreporter: TerminalReporter, config: pytest.Config) -> None:
    for one in config.stash[LISTED]:
        terminalreporter.write_line(f"known red: {one.test}: {one.cause} ({one.issue})")
