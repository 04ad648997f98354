"""Reads KNOWN-RED.txt, the list of the tests that may fail because of a known fault.

Each line has a test's id, the cause of its failure and the issue, separated by commas (`tests/test_a.py::test_b,
loses a lease, issue 7`). At most three tests may be listed. The run fails if a listed test passes or does not
exist; `tests/conftest.py` checks this.
"""

from pathlib import Path

import msgspec

MAX_LISTED = 3


class InvalidKnownFailuresError(Exception):
    """The list is malformed or too long."""


class KnownFailure(msgspec.Struct, frozen=True):
    """A test that fails for a known cause."""

    test: str
    cause: str
    issue: str


def read_known_failures(path: Path) -> list[KnownFailure]:
    """Return the listed tests; none if the file does not exist."""
    if not path.exists():
        return []
    listed = [_parse(line) for line in path.read_text().splitlines() if line.strip()]
    if len(listed) > MAX_LISTED:
        raise InvalidKnownFailuresError(f"{path.name} lists {len(listed)} tests, at most {MAX_LISTED} are allowed")
    return listed


def _parse(line: str) -> KnownFailure:
    test, _, rest = line.partition(",")
    cause, _, issue = rest.rpartition(",")
    fields = [field.strip() for field in (test, cause, issue)]
    if not all(fields):
        raise InvalidKnownFailuresError(f"expected a test, a cause and an issue separated by commas, got {line!r}")
    return KnownFailure(*fields)
