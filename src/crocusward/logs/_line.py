"""Rendering of log events as single lines, and redaction of secrets."""

import re
from collections.abc import Mapping
from datetime import UTC, datetime

HIDDEN = "[hidden]"
MAX_LINE_BYTES = 4000  # below PIPE_BUF (4096), so that writes are atomic
MAX_VALUE_CHARS = 1000
MIN_SECRET_CHARS = 4
# Fields that carry credentials. "key" is an idempotency key, with which anyone can
# query the outcome of the request.
SECRET_FIELDS = frozenset(
    {
        "authorization",
        "caller_key",
        "cookie",
        "idempotency_key",
        "key",
        "mac",
        "password",
        "peer_key",
        "secret",
        "shared_key",
        "token",
    }
)
_LEADING_FIELDS = ("timestamp", "level", "message_type")
_OMITTED_FIELDS = frozenset({"task_uuid", "task_level"})
_UNQUOTED_VALUE = re.compile(r"[A-Za-z0-9_./:@+,%-]+")
_INVALID_NAME_CHAR = re.compile(r"[^A-Za-z0-9_]")


class SecretRedactor:
    """Replaces known secrets anywhere in a line."""

    __slots__ = ("_secrets",)

    def __init__(self) -> None:
        self._secrets: list[str] = []

    def hide(self, secret: str) -> None:
        """Register a secret, to be redacted in its raw and its escaped form."""
        for form in {secret, _escape(secret)}:
            if len(form) >= MIN_SECRET_CHARS and form not in self._secrets:
                self._secrets.append(form)

    def redact(self, line: str) -> str:
        """Return the line with all registered secrets replaced."""
        for secret in self._secrets:
            if secret in line:
                line = line.replace(secret, HIDDEN)
        return line


def render_line(message: Mapping[str, object]) -> str:
    """Render an eliot message as ``time=... level=... event=... key=value ...``.

    Control characters, line separators and quotes are escaped, so that a value
    cannot inject a line or a field.
    """
    timestamp = message.get("timestamp", 0.0)
    event_time = datetime.fromtimestamp(float(str(timestamp)), UTC)
    parts = [
        f"time={event_time.isoformat(timespec='milliseconds')}",
        f"level={_render_value(message.get('level', 'info'))}",
        f"event={_render_value(message.get('message_type', 'eliot'))}",
    ]
    for name, value in message.items():
        if name in _LEADING_FIELDS or name in _OMITTED_FIELDS:
            continue
        shown = HIDDEN if name.lower() in SECRET_FIELDS else _render_value(value)
        parts.append(f"{_INVALID_NAME_CHAR.sub('_', name)}={shown}")
    return _truncate(" ".join(parts))


def _render_value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, bool):
        return "true" if value else "false"
    text = str(value)
    if _UNQUOTED_VALUE.fullmatch(text):
        return text[:MAX_VALUE_CHARS]
    return f'"{_escape(text[:MAX_VALUE_CHARS])}"'


def _escape(text: str) -> str:
    chars = []
    for char in text:
        if char in '"\\':
            chars.append("\\" + char)
        elif char.isprintable():
            chars.append(char)
        else:
            chars.append(char.encode("unicode_escape", "surrogatepass").decode())
    return "".join(chars)


def _truncate(line: str) -> str:
    raw = line.encode("utf-8", "backslashreplace")
    if len(raw) < MAX_LINE_BYTES:
        return line
    return raw[: MAX_LINE_BYTES - 4].decode("utf-8", "ignore") + "..."
