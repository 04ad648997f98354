"""`python -m tests.trace [DIRECTORY]`: runs all days and prints a digest and the number of lines of each.

With a directory, the lines of each day are written to a file there, so that diff can compare two versions.
"""

import hashlib
import multiprocessing
import os
import sys
from pathlib import Path

from tests.trace.days import DAYS, play_day

SEEDS = (1, 2, 3)
PROCESSES = 4


def trace(day: tuple[str, int]) -> tuple[str, str]:
    """Run one day; return its name with the seed, and its lines."""
    name, seed = day
    try:
        return f"{name}-{seed}", "".join(f"{line}\n" for line in play_day(name, seed))
    except Exception as error:
        raise RuntimeError(f"{name}-{seed}: {error}") from error


def main(arguments: list[str]) -> int:
    """Run all days in a pool of processes, each day in a new process."""
    if os.environ.get("PYTHONHASHSEED") != "0":
        command = [sys.executable, "-m", "tests.trace", *arguments]
        os.execve(sys.executable, command, os.environ | {"PYTHONHASHSEED": "0"})
    directory = Path(arguments[0]) if arguments else None
    if directory is not None:
        directory.mkdir(parents=True, exist_ok=True)
    days = [(name, seed) for name in DAYS for seed in SEEDS]
    with multiprocessing.get_context("fork").Pool(PROCESSES, maxtasksperchild=1) as pool:
        for name, text in pool.imap(trace, days, chunksize=1):
            print(name, hashlib.sha256(text.encode()).hexdigest()[:16], text.count("\n"), flush=True)
            if directory is not None:
                (directory / f"{name}.txt").write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
