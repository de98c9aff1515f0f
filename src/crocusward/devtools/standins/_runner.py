"""Runs stand-ins as a program that stops by itself."""

import asyncio
import signal
from collections.abc import Sequence
from typing import Protocol

DEFAULT_LIFETIME_S = 300.0


class Standin(Protocol):
    """What the runner starts and stops."""

    async def start(self) -> None:
        """Accept connections."""

    def stop(self) -> None:
        """Close everything."""


async def _serve(standins: Sequence[Standin], lifetime_s: float) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    loop.call_later(lifetime_s, stopped.set)
    for standin in standins:
        await standin.start()
    print("ready", flush=True)
    await stopped.wait()
    for standin in standins:
        standin.stop()


def run_standins(standins: Sequence[Standin], lifetime_s: float) -> None:
    """Run until SIGTERM, SIGINT or the end of ``lifetime_s`` seconds.

    Prints ``ready`` once every listener is open.
    """
    asyncio.run(_serve(standins, lifetime_s))
