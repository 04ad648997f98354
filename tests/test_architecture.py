"""Tests that the documentation names existing files, code and log lines, and of the imports between packages."""

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
CLASS_OR_MEMBER = re.compile(r"([A-Z][a-z]\w*)(?:\.(\w+))?(?:\(.*\))?")
CONSTANT = re.compile(r"_?[A-Z][A-Z_]+[A-Z]")
# Names without a file or definition in the repository: files that operators or the build create, key prefixes of the
# store, and environment variables;
NOT_IN_THE_REPOSITORY = {"settings.toml", "LOG_LEVEL", "NODE", "KNOWN-RED.txt", "rollout/", "target/app", "t/", "y/"}
# the pattern of the schema files, a module name that several packages use, and a class of a library and of an earlier
# version.
NOT_IN_THE_REPOSITORY |= {"schemas/level-N.json", "messages.py", "EvalWithCompoundTypes", "Misread"}


@cache
def syntax_trees(folder: Path) -> dict[Path, ast.Module]:
    """Return the syntax trees of all modules in a folder."""
    return {path: ast.parse(path.read_text()) for path in folder.rglob("*.py")}


def syntax_nodes(*folders: Path) -> Iterator[ast.AST]:
    """Yield each syntax node of the modules in the folders."""
    for folder in folders:
        for tree in syntax_trees(folder).values():
            yield from ast.walk(tree)


@cache
def members_by_class() -> dict[str, set[str]]:
    """Return the names of each class's members, for all classes in the package, the tests and the tools."""
    found: dict[str, set[str]] = {}
    for node in syntax_nodes(PACKAGE, ROOT / "tests", ROOT / "tools"):
        if isinstance(node, ast.ClassDef):
            found.setdefault(node.name, set()).update(member_names(node))
    return found


def member_names(node: ast.ClassDef) -> set[str]:
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
def variable_names() -> set[str]:
    """Return the names of all variables in the package and the tests, constants among them."""
    found = syntax_nodes(PACKAGE, ROOT / "tests")
    return {node.id for node in found if isinstance(node, ast.Name) and isinstance(node.ctx, ast.Store)}


def exists(quoted: str) -> bool:
    if quoted in NOT_IN_THE_REPOSITORY:
        return True
    if FILE.fullmatch(quoted) or FOLDER.fullmatch(quoted):
        places = (ROOT, PACKAGE, ROOT / "docs", ROOT / "deploy", ROOT / "tests")
        return any((place / quoted).exists() for place in places)
    if CONSTANT.fullmatch(quoted):
        return quoted in variable_names()
    named = CLASS_OR_MEMBER.fullmatch(quoted)
    if named is None:
        return True
    owner, member = named.groups()
    classes = members_by_class()
    return owner in classes and (member is None or member in classes[owner])


@pytest.mark.parametrize("page", PAGES)
def test_files_and_names_in_a_page_exist(page: str) -> None:
    text = (ROOT / "docs" / page).read_text()
    assert [quoted for quoted in QUOTED.findall(text) if not exists(quoted)] == []


def imports_between_packages() -> dict[str, set[str]]:
    """Return for each top-level package or module which others it imports."""
    found: dict[str, set[str]] = {}
    for path, tree in syntax_trees(PACKAGE).items():
        if "tests" in path.parts:
            continue
        importer = path.relative_to(PACKAGE).parts[0].removesuffix(".py")
        for node in ast.walk(tree):
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("elmthread."):
                imported = (node.module or "").split(".")[1]
                found.setdefault(importer, set()).update({imported} - {importer})
    return found


def test_packages_import_one_another_in_one_direction() -> None:
    """Check that no imports form a cycle (CycleError names it) and that lower packages import no upper ones."""
    imports = imports_between_packages()
    tuple(graphlib.TopologicalSorter(imports).static_order())
    assert len(imports) > 15
    upper = {"api", "workers", "machines", "reachability", "rollout", "peers", "controller", "leader", "limits"}
    for package in ("placement", "autoscaling", "persistence", "leadership", "cluster", "store", "net", "common"):
        assert imports.get(package, set()) & upper == set(), package


def test_no_module_sends_requests_to_workers() -> None:
    """Guard against direct commands: a worker executes them however late they arrive, and each copy of them."""
    creations: dict[str, list[str]] = {}
    for path, tree in syntax_trees(PACKAGE).items():
        for node in ast.walk(tree):
            match node:
                case ast.Call(func=ast.Name(id="HttpClient"), args=[target, *_]) if "tests" not in path.parts:
                    creations.setdefault(path.relative_to(PACKAGE).as_posix(), []).append(ast.unparse(target))
    assert creations == {
        "controller.py": ["platform.endpoints.store", "self._platform.endpoints.cloud"],
        "rollout/command.py": ["platform.endpoints.store"],
        "api/command.py": ["server"],
    }


def test_the_architecture_page_names_every_package() -> None:
    text = (ROOT / "docs" / "architecture.md").read_text()
    packages = {path.parent.name for path in PACKAGE.glob("*/__init__.py")}
    assert {package for package in packages if f"`{package}/`" not in text} == set()


# Tables with a column of log lines, whose header is `line` or `in the log`.
LOG_TABLE = re.compile(r"^(\|.*\b(?:line|in the log)\b.*)\n\|[- |]+\|\n((?:\|.*\n)+)", re.MULTILINE)
# What separates the fixed texts of a documented log line: an ellipsis, a word in capitals or a number in place of a
# value; or `: `, as the texts before and after it may come from two strings.
TEXT_SEPARATOR = re.compile(r"…|: |\b[A-Z][A-Z0-9]*\b|\b\d+(?:\.\d+)?\b")
FORMAT_SPECIFIER = re.compile(r"%(?:\.\d)?[sdfr]")
LOG_LEVELS = {"info", "warning", "error", "exception"}


def documented_log_lines(page: str) -> list[str]:
    """Return the log lines that the tables of a page list."""
    lines: list[str] = []
    for header, rows in LOG_TABLE.findall((ROOT / "docs" / page).read_text()):
        names = [name.strip() for name in header.split("|")]
        column = next(number for number, name in enumerate(names) if name in ("line", "in the log"))
        for row in rows.splitlines():
            lines += QUOTED.findall(row.split("|")[column])
    return lines


def source_strings() -> list[str]:
    """Return all string literals of the package, with an ellipsis for each format specifier."""
    return [
        FORMAT_SPECIFIER.sub("…", node.value)
        for node in syntax_nodes(PACKAGE)
        if isinstance(node, ast.Constant) and isinstance(node.value, str)
    ]


def logged_formats() -> set[str]:
    """Return the formats that the package logs at one of LOG_LEVELS, with an ellipsis for each specifier."""
    found: set[str] = set()
    for node in syntax_nodes(PACKAGE):
        match node:
            case ast.Call(
                func=ast.Attribute(value=ast.Name(id="log"), attr=level), args=[ast.Constant(value=str(text)), *_]
            ) if level in LOG_LEVELS:
                found.add(FORMAT_SPECIFIER.sub("…", text))
    return found


def test_the_operations_page_lists_each_log_line() -> None:
    # A format that is a single specifier has no text of its own to list.
    assert set(documented_log_lines("operations.md")) == logged_formats() - {"…"}


@pytest.mark.parametrize("page", ["operations.md", "rollout.md", "reachability.md"])
def test_log_lines_in_a_page_occur_in_the_code(page: str) -> None:
    known = "\n".join(source_strings())
    parts = [part.strip(" :,()") for line in documented_log_lines(page) for part in TEXT_SEPARATOR.split(line)]
    assert documented_log_lines(page) != []
    assert [part for part in parts if len(part) > 3 and part not in known] == []
