"""Runs two real versions side by side against the stand-ins of these tests.

    PYTHONPATH=src python -m tests.both DIR [SEEDS]

DIR is a checkout of the earlier version. Its controllers run from its own sources, the others
from these, and each reads what the other stores and says: a day with an upgrade by kills,
troubles and falling limits, judged by the rules; then a day of repeated upgrades and rollbacks with the
staged rollout switched on. Not a test of its own: a checkout without history has no earlier version.
docs/results.md says what was seen.
"""

import re
import shutil
import sys
import tempfile
from collections import Counter
from pathlib import Path

from tests.world.random_rollouts import day_beside_an_earlier_version
from tests.world.upgrades import upgraded_day
from tests.world.versions import EarlierVersion
from tests.world.world import World

NAME = "elmthread_earlier"


def renamed(checkout: Path, into: Path) -> None:
    """Copy the earlier version as a package beside this one."""
    shutil.copytree(checkout / "src" / "elmthread", into / NAME, ignore=shutil.ignore_patterns("tests", "__pycache__"))
    for path in (into / NAME).rglob("*.py"):
        text = re.sub(r"^(\s*)(from|import) elmthread\b", rf"\1\2 {NAME}", path.read_text(), flags=re.MULTILINE)
        path.write_text(text)


def main() -> int:
    checkout, seeds = Path(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else 20
    started: Counter[str] = Counter()
    start = World.start

    def counted(world: World, node: str) -> object:
        controller = start(world, node)
        started[type(controller).__module__] += 1
        return controller

    World.start = counted  # type: ignore[assignment, method-assign]
    with tempfile.TemporaryDirectory() as folder:
        renamed(checkout, Path(folder))
        sys.path.insert(0, folder)
        earlier = EarlierVersion(NAME)
        for seed in range(seeds):
            upgraded_day(seed, earlier)
            day_beside_an_earlier_version(seed, earlier)
            print(f"seed {seed}: no rule broken; started so far: {dict(started)}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
