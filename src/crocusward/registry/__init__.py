"""Registries of implementations, filled by decorators."""

from ._registry import Registry

__all__ = ["Registry"]
