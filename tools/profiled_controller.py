"""Runs a controller under the profiler and writes a profile on each SIGUSR1.

    PYTHONPATH=src python -m tools.profiled_controller OUTPUT_DIR SETTINGS

Each signal ends a phase: the profile since the previous signal is written to `OUTPUT_DIR/PHASE.prof`,
and the number of live objects by type to `OUTPUT_DIR/PHASE.objects`. PHASE is a number from 0.
Started by `tools.profile_controller`.
"""

import cProfile
import gc
import signal
import sys
from collections import Counter
from pathlib import Path
from types import FrameType

from elmthread.cli import main

# Number of types of live objects that are listed, most frequent first.
MAX_LISTED_TYPES = 40


class PhaseProfiler:
    """Profiles the process from `start` on and writes one profile per phase."""

    def __init__(self, output: Path) -> None:
        """Write files to the directory `output`."""
        self._output = output
        self._phase = 0
        self._profile = cProfile.Profile()

    def start(self) -> None:
        """Start profiling and end a phase on each SIGUSR1."""
        signal.signal(signal.SIGUSR1, self._end_phase)
        self._profile.enable()

    def _end_phase(self, number: int, frame: FrameType | None) -> None:
        self._profile.disable()
        self._write_objects()
        # Written last and renamed once complete: tools.profile_controller waits for this file.
        partial_file = self._output / f"{self._phase}.part"
        self._profile.dump_stats(partial_file)
        partial_file.rename(self._output / f"{self._phase}.prof")
        self._phase += 1
        self._profile = cProfile.Profile()
        self._profile.enable()

    def _write_objects(self) -> None:
        counts = Counter(type(item).__name__ for item in gc.get_objects())
        lines = [f"{count} {name}" for name, count in counts.most_common(MAX_LISTED_TYPES)]
        (self._output / f"{self._phase}.objects").write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    PhaseProfiler(Path(sys.argv[1])).start()
    sys.exit(main(["serve", "--config", sys.argv[2]]))
