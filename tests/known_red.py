"""Tests that may fail for a known fault: exactly those that KNOWN-RED.txt lists.

One line each: the test's id, its cause and the issue, with commas between (`tests/test_a.py::test_b,
loses a lease, issue 7`). At most three. A listed test that passes fails the run, as does a line that
names no test; `tests/conftest.py` applies this.
"""

from pathlib import Path

import msgspec

MOST_LISTED = 3


class BadListError(Exception):
    """The list can't be read, or lists more than it may."""


class KnownRed(msgspec.Struct, frozen=True):
    """A test that fails for a known cause."""

    test: str
    cause: str
    issue: str


def read(path: Path) -> list[KnownRed]:
    """Return the listed tests, none without a list."""
    if not path.exists():
        return []
    listed = [_parse(line) for line in path.read_text().splitlines() if line.strip()]
    if len(listed) > MOST_LISTED:
        raise BadListError(f"{path.name}: {len(listed)} tests are listed, at most {MOST_LISTED} may be")
    return listed


def _parse(line: str) -> KnownRed:
    test, _, rest = line.partition(",")
    cause, _, issue = rest.rpartition(",")
    fields = [field.strip() for field in (test, cause, issue)]
    if not all(fields):
        raise BadListError(f"not a test, a cause and an issue: {line!r}")
    return KnownRed(*fields)
