"""Child processes of the emulator."""

from __future__ import annotations

import os
import signal
import subprocess
from pathlib import Path
from typing import Final
from typing import final

STOP_TIMEOUT_SECONDS: Final = 30.0


@final
class Process:
    """One child process; standard output and standard error go to a log file."""

    __slots__ = ("_command", "_log", "_popen", "name")

    def __init__(self, *, name: str, command: list[str], log: Path) -> None:
        self.name = name
        self._command = command
        self._log = log
        self._popen: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """The process id."""
        assert self._popen is not None
        return self._popen.pid

    @property
    def cpu_seconds(self) -> float:
        """The CPU time that the process has used, user and system time together."""
        stat = Path(f"/proc/{self.pid}/stat").read_text(encoding="ascii")
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not exited."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def returncode(self) -> int | None:
        """The exit code, or ``None`` before the process has exited."""
        return None if self._popen is None else self._popen.returncode

    @property
    def log(self) -> str:
        """The contents of the log file."""
        return self._log.read_text(encoding="utf-8") if self._log.exists() else ""

    def start(self) -> None:
        """Start the process, or restart it after it has exited."""
        with self._log.open("ab") as log:
            self._popen = subprocess.Popen(
                self._command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.running:
            assert self._popen is not None
            self._popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.send(signal.SIGKILL)
        if self._popen is not None:
            self._popen.wait()

    def wait(self, timeout: float = STOP_TIMEOUT_SECONDS) -> int:
        """Wait for the process to exit and return its exit code."""
        assert self._popen is not None
        return self._popen.wait(timeout)
