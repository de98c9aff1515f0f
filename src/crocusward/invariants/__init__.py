"""Invariants that are checked at run time, in production too."""

from ._checks import InvariantName, Invariants, Violation

__all__ = ["InvariantName", "Invariants", "Violation"]
