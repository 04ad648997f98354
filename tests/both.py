"""Runs controllers of two versions together in the simulated cluster of these tests.

    PYTHONPATH=src python -m tests.both DIR [SEEDS]

DIR is a checkout of the earlier version, from whose sources its controllers run; the others run from this checkout.
Each version decodes the stored records and the messages of the other. Each seed simulates two runs, which are checked
against the rules of `tests/world/rules.py`: an upgrade in which processes are killed, with faults and with lowered
limits of the state service; and repeated upgrades and rollbacks with the staged rollout enabled. pytest does not
collect this module, as a checkout without history has no earlier version. docs/results.md has the results.
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

EARLIER_PACKAGE = "elmthread_earlier"


def copy_earlier_package(checkout: Path, destination: Path) -> None:
    """Copy the earlier version's package, and rename it so that both versions can be imported."""
    shutil.copytree(
        checkout / "src" / "elmthread",
        destination / EARLIER_PACKAGE,
        ignore=shutil.ignore_patterns("tests", "__pycache__"),
    )
    for path in (destination / EARLIER_PACKAGE).rglob("*.py"):
        text = re.sub(
            r"^(\s*)(from|import) elmthread\b", rf"\1\2 {EARLIER_PACKAGE}", path.read_text(), flags=re.MULTILINE
        )
        path.write_text(text)


def main() -> int:
    checkout, seeds = Path(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else 20
    starts_by_module: Counter[str] = Counter()
    start = World.start

    def start_and_count(world: World, node: str) -> object:
        controller = start(world, node)
        starts_by_module[type(controller).__module__] += 1
        return controller

    World.start = start_and_count  # type: ignore[assignment, method-assign]
    with tempfile.TemporaryDirectory() as folder:
        copy_earlier_package(checkout, Path(folder))
        sys.path.insert(0, folder)
        earlier = EarlierVersion(EARLIER_PACKAGE)
        for seed in range(seeds):
            upgraded_day(seed, earlier)
            day_beside_an_earlier_version(seed, earlier)
            print(f"seed {seed}: no rule broken; started so far: {dict(starts_by_module)}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
