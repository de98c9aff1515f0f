"""Line numbers of keys in TOML documents."""

import re
import tomllib
from collections import Counter

from ..errors import Finding, FindingsError, SourceLocation

_HEADER = re.compile(r"^\s*(\[\[?)\s*([^\]]+?)\s*\]\]?\s*(#.*)?$")
_KEY = re.compile(r"""^\s*((?:[\w-]+|"[^"]*"|'[^']*')(?:\s*\.\s*[\w"'-]+)*)\s*=""")
_ERROR_LINE = re.compile(r"at line (\d+)")


class LineIndex:
    """Maps key paths to line numbers.

    The text is scanned line by line, so text inside a multi-line value can be
    mistaken for a key. This affects only the reported line.

    Args:
        text: TOML text; with an empty text every lookup returns 0.
    """

    __slots__ = ("_lines",)

    def __init__(self, text: str = "") -> None:
        self._lines: dict[str, int] = {}
        counts: Counter[str] = Counter()
        prefix = ""
        for number, line in enumerate(text.splitlines(), 1):
            header = _HEADER.match(line)
            if header:
                is_array = header.group(1) == "[["
                prefix = _resolve_header(_unquote(header.group(2)), counts, is_array)
                self._lines.setdefault(prefix, number)
                continue
            key = _KEY.match(line)
            if key:
                name = _unquote(key.group(1))
                path = f"{prefix}.{name}" if prefix else name
                self._lines.setdefault(path, number)

    def line_of(self, path: str) -> int:
        """Return the line of a key or of its nearest enclosing table, or 0."""
        while path:
            if path in self._lines:
                return self._lines[path]
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return 0


def parse_toml(text: str, source: str) -> dict[str, object]:
    """Parse TOML.

    Raises:
        FindingsError: The text is not valid TOML; the finding has the line.
    """
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        match = _ERROR_LINE.search(str(exc))
        location = SourceLocation(source, "", int(match.group(1)) if match else 0)
        raise FindingsError([Finding(location, "syntax", str(exc))]) from None


def _unquote(dotted: str) -> str:
    parts = (part.strip().strip("\"'") for part in dotted.split("."))
    return ".".join(parts)


def _resolve_header(dotted: str, counts: Counter[str], is_array: bool) -> str:
    """Return the key path of a table header, with an index for each array."""
    path = ""
    parts = dotted.split(".")
    for position, part in enumerate(parts):
        path = f"{path}.{part}" if path else part
        if is_array and position == len(parts) - 1:
            counts[path] += 1
        if path in counts:
            path = f"{path}[{counts[path] - 1}]"
    return path
