"""Measures what each part costs per peer, server, request and change."""

from ._fit import LinearFit, Spread, fit_line, spread_of

__all__ = ["LinearFit", "Spread", "fit_line", "spread_of"]
