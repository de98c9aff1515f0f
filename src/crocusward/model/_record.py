"""Base class of slotted data classes."""


class Record:
    """Compares and represents instances by their ``__slots__``."""

    __slots__: tuple[str, ...] = ()

    def __eq__(self, other: object) -> bool:
        if type(other) is not type(self):
            return NotImplemented
        return all(
            getattr(self, name) == getattr(other, name) for name in self.__slots__
        )

    def __repr__(self) -> str:
        fields = ", ".join(f"{n}={getattr(self, n, None)!r}" for n in self.__slots__)
        return f"{type(self).__name__}({fields})"
