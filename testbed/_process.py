"""A process under test: starts it, waits until it is ready, and signals it."""

import os
import selectors
import signal
import subprocess
import sys
import time
from collections.abc import Mapping, Sequence
from pathlib import Path

#: Longest time until a process prints its ready line, in seconds.
READY_TIMEOUT_S = 30.0
#: Longest time until a process ends after a signal, in seconds.
END_TIMEOUT_S = 30.0


class ManagedProcess:
    """A Python module that runs as a child process.

    :param name: Name for error messages.
    :param module: Module to run with ``python -m``.
    :param arguments: Command-line arguments of the module.
    :param log_path: File to which standard error is appended.
    """

    def __init__(
        self, *, name: str, module: str, arguments: Sequence[str], log_path: Path
    ) -> None:
        self.name = name
        self.log_path = log_path
        self.ready_by_key: Mapping[str, str] = {}
        command = [sys.executable, "-m", module, *arguments]
        with log_path.open("ab") as log:
            self._process = subprocess.Popen(
                command, stdout=subprocess.PIPE, stderr=log, stdin=subprocess.DEVNULL
            )

    @property
    def pid(self) -> int:
        """Identifier of the process."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process has not ended yet."""
        return self._process.poll() is None

    def wait_ready(self) -> None:
        """Wait for the line ``ready key=value ...`` on standard output.

        :raises RuntimeError: If it is not printed in time, or is not the first line.
        """
        assert self._process.stdout is not None
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        line = b""
        with selectors.DefaultSelector() as selector:
            selector.register(self._process.stdout, selectors.EVENT_READ)
            while not line.endswith(b"\n"):
                left_s = deadline_s - time.monotonic()
                chunk = b""
                if left_s > 0 and selector.select(left_s):
                    chunk = os.read(self._process.stdout.fileno(), 1)
                if not chunk:
                    raise RuntimeError(f"{self.name} is not ready: {self.log_tail()}")
                line += chunk
        words = line.decode().split()
        if not words or words[0] != "ready":
            raise RuntimeError(f"{self.name} printed {line!r} before it was ready")
        self.ready_by_key = dict(word.split("=", 1) for word in words[1:])

    def log_tail(self, *, lines: int = 20) -> str:
        """Return the last lines of the log file."""
        text = self.log_path.read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    def pause(self) -> None:
        """Suspend the process (SIGSTOP), as if its instance were frozen."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a paused process (SIGCONT)."""
        self._process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to shut down gracefully (SIGTERM)."""
        self._process.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the process (SIGKILL) and wait for its end."""
        if self.running:
            self._process.kill()
        self._process.wait(END_TIMEOUT_S)
        if self._process.stdout is not None:
            self._process.stdout.close()

    def wait_end(self, *, timeout_s: float = END_TIMEOUT_S) -> int:
        """Wait for the end of the process.

        :returns: The exit code.
        :raises subprocess.TimeoutExpired: If the process does not end.
        """
        return self._process.wait(timeout_s)
