"""Controllers as real processes, with their logs."""

import asyncio
import os
import time
from asyncio.subprocess import PIPE, Process
from pathlib import Path


class Node:
    """One controller's process, whichever version it runs, and the lines that it logs."""

    def __init__(self, name: str, folder: Path, began: float) -> None:
        """Take the settings from the folder."""
        self.name = name
        self.settings = folder / f"{name}.toml"
        self.lines: list[tuple[float, str]] = []
        self._began = began
        self._process: Process | None = None
        self._reading: asyncio.Task[None] | None = None

    async def start(self, command: list[str], source: Path) -> None:
        """Start a process of a version."""
        environment = os.environ | {"PYTHONPATH": f"{source / 'src'}:{source}", "LOG_LEVEL": "info"}
        self._process = await asyncio.create_subprocess_exec(
            *command, "--config", str(self.settings), env=environment, cwd=source, stderr=PIPE
        )
        self._reading = asyncio.get_running_loop().create_task(self._read(self._process))

    async def _read(self, process: Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self.lines.append((time.monotonic() - self._began, line.decode().rstrip()))

    async def kill(self) -> None:
        """Kill the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        if self._reading is not None:
            await self._reading

    def when(self, text: str) -> float | None:
        """Return when it last logged a line with that text."""
        return next((at for at, line in reversed(self.lines) if text in line), None)
