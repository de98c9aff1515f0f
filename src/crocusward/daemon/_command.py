"""Entry point of ``crocuswardd``."""

import logging
import sys
from pathlib import Path

import cyclopts

from .. import __version__
from ..errors import CrocusError
from ..logs import LogPipe, StdlibBridge, start_logs
from ..settings import load_settings
from ._process import run_daemon

EXIT_SETTINGS = 2
EXIT_START = 3
LIBRARY_LOGGERS = ("asyncio", "blacksheep", "uvicorn", "websockets")

app = cyclopts.App(
    name="crocuswardd", help="Load balancer daemon.", version=__version__
)


@app.default
def serve(settings: Path) -> int:
    """Run the daemon with a settings file until SIGTERM.

    Args:
        settings: Path of the TOML settings file.
    """
    try:
        loaded = load_settings(settings)
    except (CrocusError, OSError) as exc:
        print(exc, file=sys.stderr)
        return EXIT_SETTINGS

    def open_logs() -> LogPipe:
        for name in LIBRARY_LOGGERS:
            logger = logging.getLogger(name)
            logger.handlers = [StdlibBridge(logging.WARNING)]
            logger.propagate = False
        return start_logs(level=loaded.logs.level)

    try:
        run_daemon(loaded, open_logs)
    except (CrocusError, OSError) as exc:
        print(f"crocuswardd: {exc}", file=sys.stderr)
        return EXIT_START
    return 0


def main() -> None:
    """Run the command line."""
    sys.exit(app())
