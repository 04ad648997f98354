"""The pages name files and code that exist."""

import ast
import graphlib
import re
from collections.abc import Iterator
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "src" / "elmthread"
PAGES = (
    "architecture.md",
    "design.md",
    "glossary.md",
    "meetings.md",
    "operations.md",
    "reachability-design.md",
    "rollout-design.md",
)
QUOTED = re.compile(r"`([^`\n]+)`")
FILE = re.compile(r"[\w/.-]+\.(py|toml|json|md)")
FOLDER = re.compile(r"[\w/.-]+/")
CLASS = re.compile(r"([A-Z][a-z]\w*)(?:\.(\w+))?(?:\(.*\))?")
CONSTANT = re.compile(r"_?[A-Z][A-Z_]+[A-Z]")
# Files that operators write, keys of the store, and environment variables.
NOT_IN_THE_REPOSITORY = {"settings.toml", "LOG_LEVEL", "NODE", "KNOWN-RED.txt", "rollout/", "target/app", "t/", "y/"}
# A file for each level; each package has its own; a class of a library, and one of an earlier version.
NOT_IN_THE_REPOSITORY |= {"schemas/level-N.json", "messages.py", "EvalWithCompoundTypes", "Misread"}


@cache
def parsed(folder: Path) -> dict[Path, ast.Module]:
    """Return the syntax trees of all modules in a folder."""
    return {path: ast.parse(path.read_text()) for path in folder.rglob("*.py")}


def nodes_in(*folders: Path) -> Iterator[ast.AST]:
    """Yield each node of the modules in the folders."""
    for folder in folders:
        for tree in parsed(folder).values():
            yield from ast.walk(tree)


@cache
def names_of_classes() -> dict[str, set[str]]:
    """By class, in the sources and tests, the names of its members."""
    found: dict[str, set[str]] = {}
    for node in nodes_in(PACKAGE, ROOT / "tests", ROOT / "tools"):
        if isinstance(node, ast.ClassDef):
            found.setdefault(node.name, set()).update(members(node))
    return found


def members(node: ast.ClassDef) -> set[str]:
    names: set[str] = set()
    for part in ast.walk(node):
        if isinstance(part, ast.FunctionDef | ast.AsyncFunctionDef):
            names.add(part.name)
        elif isinstance(part, ast.Name) and isinstance(part.ctx, ast.Store):
            names.add(part.id)
        elif isinstance(part, ast.Attribute) and isinstance(part.ctx, ast.Store):
            names.add(part.attr)
    return names


@cache
def constants() -> set[str]:
    """Names in capitals that the sources or tests give a value."""
    found = nodes_in(PACKAGE, ROOT / "tests")
    return {node.id for node in found if isinstance(node, ast.Name) and isinstance(node.ctx, ast.Store)}


def is_known(quoted: str) -> bool:
    if quoted in NOT_IN_THE_REPOSITORY:
        return True
    if FILE.fullmatch(quoted) or FOLDER.fullmatch(quoted):
        places = (ROOT, PACKAGE, ROOT / "docs", ROOT / "deploy", ROOT / "tests")
        return any((place / quoted).exists() for place in places)
    if CONSTANT.fullmatch(quoted):
        return quoted in constants()
    named = CLASS.fullmatch(quoted)
    if named is None:
        return True
    owner, member = named.groups()
    classes = names_of_classes()
    return owner in classes and (member is None or member in classes[owner])


@pytest.mark.parametrize("page", PAGES)
def test_files_and_names_in_a_page_exist(page: str) -> None:
    text = (ROOT / "docs" / page).read_text()
    assert [quoted for quoted in QUOTED.findall(text) if not is_known(quoted)] == []


def imports_between_packages() -> dict[str, set[str]]:
    """Return, by package or module of the top level, those that it imports."""
    found: dict[str, set[str]] = {}
    for path, tree in parsed(PACKAGE).items():
        if "tests" in path.parts:
            continue
        importer = path.relative_to(PACKAGE).parts[0].removesuffix(".py")
        for node in ast.walk(tree):
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("elmthread."):
                imported = (node.module or "").split(".")[1]
                found.setdefault(importer, set()).update({imported} - {importer})
    return found


def test_packages_import_one_another_in_one_direction() -> None:
    """A cycle raises CycleError, which names it; decisions know nothing of the services."""
    imports = imports_between_packages()
    tuple(graphlib.TopologicalSorter(imports).static_order())
    assert len(imports) > 15
    services = {"api", "workers", "machines", "reachability", "rollout", "peers", "controller", "leader", "limits"}
    for package in ("placement", "autoscaling", "persistence", "leadership", "cluster", "store", "net", "common"):
        assert imports.get(package, set()) & services == set(), package


def test_the_architecture_page_names_every_package() -> None:
    text = (ROOT / "docs" / "architecture.md").read_text()
    packages = {path.parent.name for path in PACKAGE.glob("*/__init__.py")}
    assert {package for package in packages if f"`{package}/`" not in text} == set()


# Tables whose header names a column of log lines.
LOG_TABLE = re.compile(r"^(\|.*\b(?:line|in the log)\b.*)\n\|[- |]+\|\n((?:\|.*\n)+)", re.MULTILINE)
# What stands for a value in a line of a page: a capital word, a number, an ellipsis.
VALUE = re.compile(r"…|: |\b[A-Z][A-Z0-9]*\b|\b\d+(?:\.\d+)?\b")
FORMAT = re.compile(r"%(?:\.\d)?[sdfr]")
LEVELS = {"info", "warning", "error", "exception"}


def logged_lines(page: str) -> list[str]:
    """Return the log lines in the tables of a page."""
    lines: list[str] = []
    for header, rows in LOG_TABLE.findall((ROOT / "docs" / page).read_text()):
        names = [name.strip() for name in header.split("|")]
        column = next(number for number, name in enumerate(names) if name in ("line", "in the log"))
        for row in rows.splitlines():
            lines += QUOTED.findall(row.split("|")[column])
    return lines


def strings_of_the_sources() -> list[str]:
    """Return all strings of the sources, with an ellipsis for each value."""
    return [
        FORMAT.sub("…", node.value)
        for node in nodes_in(PACKAGE)
        if isinstance(node, ast.Constant) and isinstance(node.value, str)
    ]


def log_calls() -> set[str]:
    """Return the lines that the sources log at one of the LEVELS, with an ellipsis for each value."""
    found: set[str] = set()
    for node in nodes_in(PACKAGE):
        match node:
            case ast.Call(
                func=ast.Attribute(value=ast.Name(id="log"), attr=level), args=[ast.Constant(value=str(text)), *_]
            ) if level in LEVELS:
                found.add(FORMAT.sub("…", text))
    return found


def test_the_operations_page_lists_each_log_line() -> None:
    # A line that is all value has its words elsewhere.
    assert set(logged_lines("operations.md")) == log_calls() - {"…"}


@pytest.mark.parametrize("page", ["operations.md", "rollout.md", "reachability.md"])
def test_log_lines_in_a_page_are_those_of_the_sources(page: str) -> None:
    known = "\n".join(strings_of_the_sources())
    parts = [part.strip(" :,()") for line in logged_lines(page) for part in VALUE.split(line)]
    assert logged_lines(page) != []
    assert [part for part in parts if len(part) > 3 and part not in known] == []
