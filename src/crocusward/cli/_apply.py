"""Documents as operations, in terms of what is different from the fleet."""

import re
from pathlib import Path

from ..documents import (
    ContractDocument,
    LineIndex,
    encode_contract,
    encode_customer,
    encode_data_centre,
    encode_service,
)
from ..errors import Finding, FindingsError, SourceLocation
from ._client import AdminClient, Table

_OPERATION = re.compile(r"operations\[(\d+)\]\.\w+(.*)")
KINDS = (
    ("data_centres", "data_centre", encode_data_centre),
    ("services", "service", encode_service),
    ("customers", "customer", encode_customer),
    ("contracts", "contract", encode_contract),
)


def read_document_text(path: str) -> str:
    """Return the text of a file.

    Raises:
        FindingsError: The file cannot be read.
    """
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        reason = getattr(exc, "strerror", None) or "is not UTF-8 text"
        finding = Finding(
            SourceLocation(path, ""), "unreadable", f"cannot read: {reason}"
        )
        raise FindingsError([finding]) from None


class ApplyPlan:
    """The operations that bring the fleet to a document.

    Args:
        path: File name.

    Attributes:
        base: Version that the comparison was made with.
        operations: Operations as tables.

    Raises:
        FindingsError: The document has faults.
    """

    __slots__ = ("base", "operations", "_path", "_document", "_lines", "_origins")

    def __init__(self, path: str) -> None:
        text = read_document_text(path)
        self.base = 0
        self.operations: list[Table] = []
        self._path = path
        self._document = ContractDocument.parse(text, path)
        self._lines = LineIndex("" if path.endswith(".json") else text)
        self._origins: list[str] = []

    def compare(self, client: AdminClient) -> None:
        """Find the entries that differ from the fleet.

        The state of a data centre that exists stays as operators have set it.
        """
        self.operations = []
        self._origins = []
        versions = []
        for kind, singular, encode in KINDS:
            answer = client.get(kind)
            versions.append(int(answer["version"]))
            known = {item["name"]: item for item in answer[kind]}
            for index, item in enumerate(getattr(self._document, kind)):
                table = encode(item)
                old = known.get(table["name"])
                if kind == "data_centres" and old is not None:
                    table["state"] = old["state"]
                if table != old:
                    self.operations.append({"kind": f"put_{singular}", singular: table})
                    self._origins.append(f"{kind}[{index}]")
        # With the oldest version seen, a change in between gives a conflict.
        self.base = min(versions)

    def location(self, path: str) -> SourceLocation:
        """Return the place in the file for a path in the request."""
        match = _OPERATION.fullmatch(path)
        if match and int(match.group(1)) < len(self._origins):
            path = self._origins[int(match.group(1))] + match.group(2)
        return SourceLocation(self._path, path, self._lines.line_of(path))
