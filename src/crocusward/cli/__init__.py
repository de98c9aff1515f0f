"""Command-line tool for operators."""

from ._client import AdminClient
from ._exit import ExitCode, ToolError
from ._main import main, run
from ._tool import Tool

__all__ = ["AdminClient", "ExitCode", "Tool", "ToolError", "main", "run"]
