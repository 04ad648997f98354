"""What `deploy/build` leaves for the start of a controller, in work that a start needn't do."""

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
# Loads what run.py loads, but does not serve; prints how often garbage was collected meanwhile.
LOAD = """
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
    """Make a built checkout, in which the libraries count as installed: they are those of this environment."""
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


def run(checkout: Path, arguments: list[str]) -> subprocess.CompletedProcess[str]:
    environment = os.environ | {"PYTHONPATH": sysconfig.get_paths()["purelib"], "PYTHONDONTWRITEBYTECODE": "1"}
    return subprocess.run(
        [sys.executable, *arguments], cwd=checkout, env=environment, capture_output=True, text=True, check=False
    )


def test_a_start_compiles_nothing_and_collects_no_garbage(checkout: Path) -> None:
    done = run(checkout, ["-S", "-v", "-c", LOAD])
    assert done.returncode == 0, done.stderr[-2000:]
    assert SOURCE_COMPILED.findall(done.stderr) == []
    assert len(BYTECODE_READ.findall(done.stderr)) > 30
    assert int(done.stdout.split()[-1]) == 0


def test_what_was_built_starts_as_the_deploy_file_says(checkout: Path) -> None:
    program, *arguments = tomllib.loads((checkout / "deploy/service.toml").read_text())["run"].split()
    assert program == "python3"
    done = run(checkout, [*arguments, "absent.toml"])
    assert done.returncode == 2
    assert "absent.toml" in done.stderr
    assert not list(checkout.glob("target/app/elmthread/**/tests"))
