"""Processes that the fleet runner starts, and the ports reserved for them."""

import os
import signal
import socket
import subprocess
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Final

import anyio

import heathermount

__all__ = ["ManagedProcess", "PortReservation"]

EXIT_POLL_S: Final = 0.02


class PortReservation:
    """Loopback ports chosen by the system and reserved for one run.

    A bound socket that does not listen keeps the system from using the port for
    an outgoing connection, so that a restarted process can bind its address
    again. With SO_REUSEADDR on both sides the process can bind and listen;
    until it does, connections are refused.
    """

    __slots__ = ("_sockets",)

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def reserve(self) -> str:
        """Return a loopback address, "ip:port"."""
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind(("127.0.0.1", 0))
        self._sockets.append(reserved)
        return f"127.0.0.1:{reserved.getsockname()[1]}"

    def close(self) -> None:
        while self._sockets:
            self._sockets.pop().close()


class ManagedProcess:
    """A child process; signals go to its process id only."""

    __slots__ = (
        "_command",
        "_directory",
        "_extra_environment",
        "_process",
        "log_path",
        "name",
        "paused",
    )

    def __init__(
        self,
        name: str,
        command: Sequence[str],
        directory: Path,
        extra_environment: Mapping[str, str] | None = None,
    ) -> None:
        self.name = name
        self.log_path = directory / f"{name}.log"
        self.paused = False
        self._command = list(command)
        self._directory = directory
        # Added to the environment variables of this process.
        self._extra_environment = dict(extra_environment or {})
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int:
        """Return the process id; 0 before the first start."""
        return 0 if self._process is None else self._process.pid

    @property
    def returncode(self) -> int | None:
        return None if self._process is None else self._process.poll()

    def start(self) -> None:
        """Start the process; its output is appended to the log."""
        assert not self.running
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                self._command,
                cwd=self._directory,
                env=make_environment() | self._extra_environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.paused = False

    def kill(self) -> None:
        """Kill the process (SIGKILL), as the loss of an instance does."""
        self._send_signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def terminate(self) -> None:
        """Request a graceful shutdown (SIGTERM)."""
        self._send_signal(signal.SIGTERM)

    def request_reload(self) -> None:
        """Request a reload of the settings (SIGHUP)."""
        self._send_signal(signal.SIGHUP)

    def pause(self) -> None:
        """Suspend the process (SIGSTOP); its connections stay open."""
        self._send_signal(signal.SIGSTOP)
        self.paused = True

    def resume(self) -> None:
        self._send_signal(signal.SIGCONT)
        self.paused = False

    async def wait(self, timeout_s: float) -> int | None:
        """Wait for the process to end; return its exit code, or None on timeout."""
        with anyio.move_on_after(timeout_s):
            while True:
                if not self.running:
                    break
                await anyio.sleep(EXIT_POLL_S)
        return self.returncode

    def log_tail(self, lines: int = 5) -> str:
        """Return the last lines of the log."""
        if not self.log_path.exists():
            return ""
        text = self.log_path.read_text(encoding="utf-8", errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    def _send_signal(self, signal_number: signal.Signals) -> None:
        if self._process is not None and self.running:
            self._process.send_signal(signal_number)


def make_environment() -> dict[str, str]:
    """Return an environment in which processes import this same package."""
    source = str(Path(heathermount.__file__).resolve().parents[1])
    return os.environ | {"PYTHONPATH": source}
