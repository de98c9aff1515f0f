"""Starts the entry daemon from the repository, which need not be installed."""

import signal

# Settings may change while the modules load; the signal's default action would end the
# process. The daemon reads the settings after this line, and checks them later.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import sys  # noqa: E402
from pathlib import Path  # noqa: E402

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from crocusward.entryd import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
