"""The entry daemons as processes of their own."""

import asyncio
import json
import math
import os
import re
import signal
import sys
import time
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[4]
MEMORY_MB = 300
KIB = 1024
CALLER_PORT, READY_PORT, CONTROL_PORT, PEER_PORT = 18161, 18167, 18166, 17720


class Daemon:
    """One daemon.

    Attributes:
        name: Name of its host.
        address: Loopback address of its host.
        data_centre: Its data centre.
        disturbed_s: When it was last started, signalled or paused, in seconds.
        starts_s: When it was started, in seconds.
        kills_s: When it was killed, in seconds.
        pauses_s: Begin and end of the times in which it was frozen, in seconds.
        is_removed: Whether it is not to be started again.
    """

    def __init__(
        self,
        name: str,
        address: str,
        data_centre: str,
        regions: dict[str, str],
        store_port: int,
        seeds: list[str],
        directory: Path,
        *,
        plant: str = "",
        loss: float = 0.0,
    ) -> None:
        self.name = name
        self.address = address
        self.data_centre = data_centre
        self.disturbed_s = 0.0
        self.starts_s: list[float] = []
        self.kills_s: list[float] = []
        self.pauses_s: list[tuple[float, float]] = []
        self.paused = False
        self.is_removed = False
        self.stopping_s: float | None = None
        self._settings = directory / f"{name}.json"
        self._log = directory / f"{name}.log"
        self._command = [str(REPOSITORY / "deploy" / "run.py")]
        if plant or loss:
            self._command = ["-m", f"{__package__}._planted", plant, f"{loss}"]
        self._is_starting = False
        self._is_killed = False
        self._process: asyncio.subprocess.Process | None = None
        self._settings.write_text(
            json.dumps(self._document(regions, store_port, seeds)), encoding="utf-8"
        )

    def _document(
        self, regions: dict[str, str], store_port: int, seeds: list[str]
    ) -> dict[str, object]:
        return {
            "node": self.name,
            "ip": self.address,
            "zone": self.data_centre,
            "region": regions[self.data_centre],
            "zones": regions,
            "listen": {
                "front": f"{self.address}:{CALLER_PORT}",
                "ready": f"{self.address}:{READY_PORT}",
                "control": f"{self.address}:{CONTROL_PORT}",
            },
            "portRange": [PEER_PORT, PEER_PORT + 5],
            "seeds": [f"{seed}:{CONTROL_PORT}" for seed in seeds],
            "limits": {"cpuShare": 1.0, "memoryMb": MEMORY_MB, "maxFds": 1000},
            "heartbeat": "1500ms",
            "bounds": {
                "drain": "2s",
                "grace": "6s",
                "configApply": "2s",
                "reuseAfter": "2s",
                "retryBudgetRatio": 0.2,
                "retryWindow": "10s",
                "retryBudgetSlack": 58,
                "warmupOverage": 1.5,
                "warmupSlack": 5,
            },
            "platform": {"address": f"127.0.0.1:{store_port}"},
        }

    def _touch(self) -> None:
        self.disturbed_s = asyncio.get_running_loop().time()

    async def start(self) -> None:
        """Start the process unless another fault has started it again already."""
        if (
            self.is_removed
            or self._is_starting
            or (self.is_running and not self._is_killed)
        ):
            return
        self._is_starting = True
        if self._process is not None and self._is_killed:
            await self._process.wait()
        self._is_killed = False
        self._touch()
        self.starts_s.append(self.disturbed_s)
        self.stopping_s = None
        env = {
            **os.environ,
            "CROCUSWARD_BOOT": str(self._settings),
            "PYTHONPATH": str(REPOSITORY / "src"),
        }
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._command,
                env=env,
                stdout=log,
                stderr=log,
            )
        self._is_starting = False

    @property
    def exit_code(self) -> int | None:
        """Exit status of the last process, negative for a signal; None if it runs."""
        return self._process.returncode if self._process is not None else None

    @property
    def is_running(self) -> bool:
        """Return True while the process runs."""
        return self._process is not None and self._process.returncode is None

    def resident_bytes(self) -> int:
        """Return the resident memory of the process, 0 if it does not run."""
        if self._process is None or not self.is_running:
            return 0
        try:
            status = Path(f"/proc/{self._process.pid}/status").read_text("ascii")
        except OSError:  # it has just ended
            return 0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found[1]) * KIB if found else 0

    def _signal(self, number: int) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)
            self._touch()

    def kill(self) -> None:
        """End the process at once."""
        self._is_killed = True
        self.kills_s.append(asyncio.get_running_loop().time())
        self._signal(signal.SIGKILL)
        self.paused = False

    def pause(self) -> None:
        """Freeze the process."""
        self._signal(signal.SIGSTOP)
        self.paused = True
        self.pauses_s.append((asyncio.get_running_loop().time(), math.inf))

    def resume(self) -> None:
        """Let a frozen process go on."""
        self._signal(signal.SIGCONT)
        if self.paused:
            begin_s, _ = self.pauses_s.pop()
            self.pauses_s.append((begin_s, asyncio.get_running_loop().time()))
        self.paused = False

    def reload(self) -> None:
        """Tell the process that its settings changed.

        The signal ends an interpreter that has not begun to run the program, which no
        program can prevent; such a process reads the new settings anyway.
        """
        self._settings.touch()
        if self._handles_reload():
            self._signal(signal.SIGHUP)

    def _handles_reload(self) -> bool:
        """Return whether the process ignores or catches the signal by now."""
        if self._process is None or not self.is_running:
            return False
        path = Path(f"/proc/{self._process.pid}/status")
        try:
            status = path.read_text(encoding="ascii")
        except FileNotFoundError:
            return False  # the process ended and was not waited for yet
        masks = dict(line.split(":", 1) for line in status.splitlines())
        bit = 1 << (signal.SIGHUP - 1)
        return any(int(masks[name], 16) & bit for name in ("SigIgn", "SigCgt"))

    def stop(self) -> None:
        """Ask the process to stop as planned."""
        self._signal(signal.SIGTERM)
        self.stopping_s = asyncio.get_running_loop().time()

    def stop_again(self) -> None:
        """Repeat the request to stop."""
        self._signal(signal.SIGTERM)

    async def wait(self, timeout_s: float) -> bool:
        """Wait for the end of the process; return whether it ended."""
        if self._process is None:
            return True
        try:
            await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            return False
        return True

    async def is_ready(self) -> bool:
        """Return whether the daemon says that it is ready."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.address, READY_PORT), 0.5
            )
        except (OSError, TimeoutError):
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()
        return b" 200 " in line


def unix_ms() -> int:
    """Return the time of day in milliseconds."""
    return time.time_ns() // 1_000_000
