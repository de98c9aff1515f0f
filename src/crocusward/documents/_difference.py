"""Field-by-field differences between two tables."""

from collections.abc import Mapping

from ..model import Record

ABSENT = None


class Difference(Record):
    """A changed field.

    Attributes:
        path: Dotted key path.
        before: Value before, None if absent.
        after: Value after, None if absent.
    """

    __slots__ = ("path", "before", "after")

    def __init__(self, path: str, before: object, after: object) -> None:
        self.path = path
        self.before = before
        self.after = after

    def __str__(self) -> str:
        if self.before is ABSENT:
            return f"+ {self.path} = {self.after}"
        if self.after is ABSENT:
            return f"- {self.path} = {self.before}"
        return f"~ {self.path}: {self.before} -> {self.after}"


def find_differences(
    path: str, before: Mapping[str, object] | None, after: Mapping[str, object] | None
) -> list[Difference]:
    """Return the differing fields, ordered by path."""
    old_fields = _flatten(path, before)
    new_fields = _flatten(path, after)
    return [
        Difference(key, old_fields.get(key), new_fields.get(key))
        for key in sorted(old_fields.keys() | new_fields.keys())
        if old_fields.get(key) != new_fields.get(key)
    ]


def _flatten(path: str, value: object) -> dict[str, object]:
    if value is None:
        return {}
    if isinstance(value, Mapping):
        flat: dict[str, object] = {}
        for key, item in value.items():
            flat.update(_flatten(f"{path}.{key}", item))
        return flat
    if isinstance(value, list) and value and isinstance(value[0], Mapping):
        flat = {}
        for index, item in enumerate(value):
            flat.update(_flatten(f"{path}[{index}]", item))
        return flat
    return {path: value}
