"""Daemon of an entry host that runs on the operator's platform."""

from ._command import main

__all__ = ["main"]
