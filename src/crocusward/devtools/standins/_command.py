"""Commands of the control endpoint."""

import json

from ...errors import CrocusError
from ...model import Record

CONTROL_PATH = "/-/control"
STATS_PATH = "/-/stats"


class Command(Record):
    """A parsed control request.

    Attributes:
        action: Name of the action.
        arguments: The other members of the JSON object.
    """

    __slots__ = ("action", "arguments")

    def __init__(self, action: str, arguments: dict[str, object]) -> None:
        self.action = action
        self.arguments = arguments

    @classmethod
    def parse(cls, body: bytes) -> "Command":
        """Parse a JSON object with the member ``action``.

        Raises:
            CrocusError: The body is no such object.
        """
        try:
            document = json.loads(body)
            return cls(document.pop("action"), document)
        except (ValueError, KeyError, AttributeError, TypeError):
            raise CrocusError("no JSON object with an action", code="bad_command")

    def number(self, name: str, default: float) -> float:
        """Return a number."""
        value = self.arguments.get(name, default)
        if not isinstance(value, (int, float)):
            raise CrocusError(f"{name} must be a number", code="bad_command")
        return float(value)

    def text(self, name: str, default: str = "") -> str:
        """Return a text."""
        return str(self.arguments.get(name, default))

    def flag(self, name: str, default: bool) -> bool:
        """Return a truth value."""
        return bool(self.arguments.get(name, default))
