"""Framing of HTTP/1.1 requests."""

from ._request_parser import Headers, RequestCallbacks, RequestParser

__all__ = ["Headers", "RequestCallbacks", "RequestParser"]
