"""Entry point of the daemon."""

import asyncio
import os
import sys
from pathlib import Path

from ..errors import CrocusError
from ..logs import start_logs
from ..platform import BOOT_SETTINGS_VARIABLE, read_boot_settings
from ._process import EntryProcess

EXIT_SETTINGS = 2
EXIT_START = 3


def main() -> int:
    """Run the daemon with the settings that the platform names; return its status."""
    path = os.environ.get(BOOT_SETTINGS_VARIABLE)
    if not path:
        print(f"{BOOT_SETTINGS_VARIABLE} names no settings file", file=sys.stderr)
        return EXIT_SETTINGS
    try:
        facts = read_boot_settings(Path(path))
    except (CrocusError, OSError) as exc:
        print(exc, file=sys.stderr)
        return EXIT_SETTINGS
    logs = start_logs(sys.stdout)

    async def run() -> None:
        await EntryProcess(facts, Path(path), logs).run()

    try:
        asyncio.run(run())
    except OSError as exc:
        print(f"crocusward: {exc}", file=sys.stderr)
        return EXIT_START
    return 0
