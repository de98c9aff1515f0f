"""Entry point of the daemon."""

import asyncio
import os
import sys
from pathlib import Path

from ..errors import CrocusError
from ..logs import start_logs
from ..platform import BOOT_SETTINGS_VARIABLE, read_boot_settings
from ._process import EntryProcess

EXIT_BAD_SETTINGS = 2
EXIT_START_FAILED = 3


def main() -> int:
    """Run the daemon with the settings file from the environment.

    Returns:
        The exit status.
    """
    path = os.environ.get(BOOT_SETTINGS_VARIABLE)
    if not path:
        print(
            f"environment variable {BOOT_SETTINGS_VARIABLE} is not set", file=sys.stderr
        )
        return EXIT_BAD_SETTINGS
    try:
        facts = read_boot_settings(Path(path))
    except (CrocusError, OSError) as exc:
        print(exc, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    logs = start_logs(sys.stdout)

    async def run() -> None:
        await EntryProcess(facts, Path(path), logs).run()

    try:
        asyncio.run(run())
    except OSError as exc:
        print(f"crocusward: {exc}", file=sys.stderr)
        return EXIT_START_FAILED
    return 0
