"""Runs controllers as subprocesses and collects their logs."""

import asyncio
import os
import time
from asyncio.subprocess import PIPE, Process
from pathlib import Path


class Node:
    """The controller process of one node, of any version, and its log lines."""

    def __init__(self, name: str, folder: Path, start_time: float) -> None:
        """Use the settings file `<name>.toml` in the folder; log times are relative to `start_time`."""
        self.name = name
        self.settings = folder / f"{name}.toml"
        self.lines: list[tuple[float, str]] = []
        self._start_time = start_time
        self._process: Process | None = None
        self._log_task: asyncio.Task[None] | None = None

    async def start(self, command: list[str], source: Path) -> None:
        """Start the process by `command`, with the code in the checkout `source`."""
        environment = os.environ | {"PYTHONPATH": f"{source / 'src'}:{source}", "LOG_LEVEL": "info"}
        self._process = await asyncio.create_subprocess_exec(
            *command, "--config", str(self.settings), env=environment, cwd=source, stderr=PIPE
        )
        self._log_task = asyncio.get_running_loop().create_task(self._read_log(self._process))

    async def _read_log(self, process: Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self.lines.append((time.monotonic() - self._start_time, line.decode().rstrip()))

    async def kill(self) -> None:
        """Kill the process and read its log to the end."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        if self._log_task is not None:
            await self._log_task

    def last_logged_at(self, text: str) -> float | None:
        """Return the time of the last log line that contains the text, or None."""
        return next((logged_at for logged_at, line in reversed(self.lines) if text in line), None)
