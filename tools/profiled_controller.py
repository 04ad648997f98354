"""A controller that writes a profile of itself each time it gets SIGUSR1.

    PYTHONPATH=src python -m tools.profiled_controller OUTPUT_DIR SETTINGS

Every signal ends a phase: what was profiled since the one before is written to
`OUTPUT_DIR/PHASE.prof`, live objects by type to `OUTPUT_DIR/PHASE.objects`.
`tools.profile_controller` starts it.
"""

import cProfile
import gc
import signal
import sys
from collections import Counter
from pathlib import Path
from types import FrameType

from elmthread.cli import main

# Types of live objects that are listed, the most frequent first.
MOST_TYPES = 40


class PhaseRecorder:
    """Profiles from its start on, and writes one profile a phase."""

    def __init__(self, output: Path) -> None:
        """Write files to the directory `output`."""
        self._output = output
        self._phase = 0
        self._profile = cProfile.Profile()

    def start(self) -> None:
        """Begin to profile; SIGUSR1 ends a phase from here on."""
        signal.signal(signal.SIGUSR1, self._end_phase)
        self._profile.enable()

    def _end_phase(self, number: int, frame: FrameType | None) -> None:
        self._profile.disable()
        self._write_objects()
        # Written last: whoever waits for the phase waits for this file.
        part = self._output / f"{self._phase}.part"
        self._profile.dump_stats(part)
        part.rename(self._output / f"{self._phase}.prof")
        self._phase += 1
        self._profile = cProfile.Profile()
        self._profile.enable()

    def _write_objects(self) -> None:
        counts = Counter(type(one).__name__ for one in gc.get_objects())
        lines = [f"{count} {name}" for name, count in counts.most_common(MOST_TYPES)]
        (self._output / f"{self._phase}.objects").write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    PhaseRecorder(Path(sys.argv[1])).start()
    sys.exit(main(["serve", "--config", sys.argv[2]]))
