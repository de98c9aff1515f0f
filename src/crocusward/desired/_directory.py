"""Desired state, data centres out of service and backend servers."""

from collections.abc import Callable

from ..logs import Level, log_event
from ._types import BackendEntry, DesiredState


class Directory:
    """This host's view of the deployment.

    The version of the desired state never goes back. Components that track backend
    servers or data centres subscribe to their changes.

    Args:
        regions: Region by data centre.

    Attributes:
        state: Newest desired state, or None before the first.
        data_centres_out: Data centres that operators took out of service.
        backends: Backend servers by id.
        has_backend_list: Whether a complete list of backend servers was read.
    """

    __slots__ = (
        "state",
        "data_centres_out",
        "backends",
        "has_backend_list",
        "_regions",
        "_backend_observers",
        "_data_centre_observers",
    )

    def __init__(self, regions: dict[str, str]) -> None:
        self.state: DesiredState | None = None
        self.data_centres_out: set[str] = set()
        self.backends: dict[str, BackendEntry] = {}
        self.has_backend_list = False
        self._regions = regions
        self._backend_observers: list[
            Callable[[BackendEntry | None, BackendEntry | None], None]
        ] = []
        self._data_centre_observers: list[Callable[[str, bool], None]] = []

    def subscribe_backends(
        self, observer: Callable[[BackendEntry | None, BackendEntry | None], None]
    ) -> None:
        """Call ``observer`` with the old and the new entry on each change.

        The old entry is None for an added server, the new one for a removed server.
        """
        self._backend_observers.append(observer)

    def subscribe_data_centres(self, observer: Callable[[str, bool], None]) -> None:
        """Call ``observer`` with name and ``is_out`` when a data centre changes."""
        self._data_centre_observers.append(observer)

    def is_usable(self) -> bool:
        """Return True once requests can be served."""
        return self.state is not None and self.has_backend_list

    def region_of(self, data_centre: str) -> str:
        """Return the region of a data centre, or "" if it is unknown."""
        return self._regions.get(data_centre, "")

    def set_state(self, state: DesiredState) -> bool:
        """Replace the desired state by a newer one; return whether it changed."""
        known = self.state
        if known is not None and state.version <= known.version:
            if state.version < known.version:
                log_event(
                    "desired_state_ignored",
                    Level.WARNING,
                    version=state.version,
                    in_force=known.version,
                    reason="older than the version in force",
                )
            return False
        self.state = state
        log_event(
            "desired_state_taken",
            version=state.version,
            previous=known.version if known else 0,
            services=len(state.services),
        )
        return True

    def set_data_centre_out(self, data_centre: str, is_out: bool) -> bool:
        """Take a data centre out of service or back; return whether this changed it."""
        if (data_centre in self.data_centres_out) == is_out:
            return False
        (self.data_centres_out.add if is_out else self.data_centres_out.discard)(
            data_centre
        )
        log_event("data_centre_out" if is_out else "data_centre_back", name=data_centre)
        for observer in self._data_centre_observers:
            observer(data_centre, is_out)
        return True

    def set_backend(self, id: str, entry: BackendEntry | None) -> None:
        """Add or replace the entry of a backend server; None removes it.

        An entry that the server wrote before the known one is ignored.
        """
        old = self.backends.get(id)
        if entry is None:
            if old is None:
                return
            del self.backends[id]
        elif (
            old is not None
            and entry.started_unix_ms == old.started_unix_ms
            and entry.seq < old.seq
        ):
            log_event(
                "backend_entry_ignored",
                Level.WARNING,
                backend=id,
                seq=entry.seq,
                known_seq=old.seq,
                reason="written before the known entry",
            )
            return
        else:
            self.backends[id] = entry
        for observer in self._backend_observers:
            observer(old, entry)
