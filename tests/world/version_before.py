"""A controller of the previous version: it announces only the first level, and reads no record form of a higher one.

    python -m tests.world.version_before --config FILE [--operators FILE]

For runs with real processes where no checkout of an earlier version is available.
"""

import argparse
import asyncio
from pathlib import Path

from elmthread.common import logs
from elmthread.controller import Controller, ControllerEnvironment
from elmthread.settings import operators, platform
from tests.world.rollouts import PREVIOUS_LEVELS


def main() -> None:
    """Run the controller until it is terminated."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--config", type=Path, required=True)
    parser.add_argument("--operators", type=Path)
    options = parser.parse_args()
    logs.configure()
    controller = Controller(
        platform.load(options.config),
        operators.load(options.operators),
        ControllerEnvironment(supported=PREVIOUS_LEVELS),
    )
    asyncio.run(controller.run())


if __name__ == "__main__":
    main()
