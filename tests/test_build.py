"""Tests that `deploy/build` does the work ahead of time that would slow down the start of a controller."""

import os
import re
import shutil
import subprocess
import sys
import sysconfig
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
SOURCE_COMPILED = re.compile(r"^# code object from '?(.*/elmthread/.*\.py)'?$", re.MULTILINE)
BYTECODE_READ = re.compile(r"^# code object from '?(.*/elmthread/.*\.pyc)'?$", re.MULTILINE)
# Loads the modules that run.py loads, without serving; prints the number of garbage collections meanwhile.
LOAD_CONTROLLER = """
import gc, sys

def collections():
    return sum(one["collections"] for one in gc.get_stats())

sys.path.insert(0, "target/app")
with open("target/app/run.py") as source:
    start = compile(source.read(), "run.py", "exec")
gc.collect()
before = collections()
exec(start, {"__name__": "loaded", "__file__": "target/app/run.py"})
import elmthread.controller
print(collections() - before)
"""


@pytest.fixture
def checkout(tmp_path: Path) -> Path:
    """Return a built checkout whose libraries are marked as installed: those of this environment are used."""
    for name in ("src", "deploy"):
        shutil.copytree(ROOT / name, tmp_path / name, ignore=shutil.ignore_patterns("__pycache__"))
    for name in ("run.py", "requirements.txt"):
        shutil.copy(ROOT / name, tmp_path)
    (tmp_path / "target/app").mkdir(parents=True)
    (tmp_path / "target/app/.installed").touch()
    os.utime(tmp_path / "requirements.txt", (0, 0))
    command = tomllib.loads((tmp_path / "deploy/service.toml").read_text())["build"]
    subprocess.run(command, shell=True, cwd=tmp_path, check=True)
    return tmp_path


def run_python(checkout: Path, arguments: list[str]) -> subprocess.CompletedProcess[str]:
    environment = os.environ | {"PYTHONPATH": sysconfig.get_paths()["purelib"], "PYTHONDONTWRITEBYTECODE": "1"}
    return subprocess.run(
        [sys.executable, *arguments], cwd=checkout, env=environment, capture_output=True, text=True, check=False
    )


def test_start_compiles_no_source_and_collects_no_garbage(checkout: Path) -> None:
    result = run_python(checkout, ["-S", "-v", "-c", LOAD_CONTROLLER])
    assert result.returncode == 0, result.stderr[-2000:]
    assert SOURCE_COMPILED.findall(result.stderr) == []
    assert len(BYTECODE_READ.findall(result.stderr)) > 30
    assert int(result.stdout.split()[-1]) == 0


def test_built_app_starts_with_the_command_of_the_deploy_file(checkout: Path) -> None:
    program, *arguments = tomllib.loads((checkout / "deploy/service.toml").read_text())["run"].split()
    assert program == "python3"
    result = run_python(checkout, [*arguments, "absent.toml"])
    assert result.returncode == 2
    assert "absent.toml" in result.stderr
    assert not list(checkout.glob("target/app/elmthread/**/tests"))
