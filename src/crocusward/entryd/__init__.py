"""The daemon of an entry host on the users' platform."""

from ._command import main

__all__ = ["main"]
