"""Starts the entry daemon from the repository, which need not be installed."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from crocusward.entryd import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
