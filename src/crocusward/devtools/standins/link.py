"""Runs relays that act as the link between two regions."""

import cyclopts

from ...errors import CrocusError
from ...registry import Registry
from ._command import CONTROL_PATH, STATS_PATH, Command
from ._http import Connection, ConnectionKeeper, Listener, StandinRequest
from ._link import LinkDirection, LinkRelay
from ._runner import DEFAULT_LIFETIME_S, run_standins

LINK_ACTIONS: Registry = Registry("control action")


class LinkStandin(ConnectionKeeper):
    """Relays in both directions and their control endpoint.

    Args:
        there: Relays ``ADDRESS:PORT=ADDRESS:PORT`` dialled from the first region.
        back: Relays dialled from the second region.
        address: Address of the control endpoint.
        port: Port of the control endpoint.
    """

    def __init__(
        self, there: list[str], back: list[str], address: str, port: int
    ) -> None:
        self.listener = Listener(self, address, port)
        self.outward = LinkDirection()
        self.homeward = LinkDirection()
        self.relays = [_relay(t, self.outward, self.homeward) for t in there]
        self.relays += [_relay(t, self.homeward, self.outward) for t in back]

    async def start(self) -> None:
        """Accept connections."""
        for relay in self.relays:
            await relay.start()
        await self.listener.open()

    def stop(self) -> None:
        """Close everything."""
        for relay in self.relays:
            relay.stop()
        self.listener.shut()

    def on_request(self, conn: Connection, req: StandinRequest) -> None:
        """Answer a control request."""
        if req.path == STATS_PATH:
            carried = [self.outward.carried_bytes, self.homeward.carried_bytes]
            conn.respond_json({"carried_bytes": carried})
        elif req.path == CONTROL_PATH:
            self._control(conn, req)
        else:
            conn.respond(404)

    def _control(self, conn: Connection, req: StandinRequest) -> None:
        try:
            command = Command.parse(req.body)
            LINK_ACTIONS.get(command.action)(self, command)
        except CrocusError as exc:
            conn.respond_json({"code": exc.code, "reason": str(exc)}, 400)
            return
        conn.respond_json({"ok": True})


@LINK_ACTIONS.register("cut")
def cut(standin: LinkStandin, command: Command) -> None:
    """Partition the regions, or end it with ``cut`` false."""
    for relay in standin.relays:
        relay.set_cut(command.flag("cut", True))


@LINK_ACTIONS.register("delay")
def set_delay(standin: LinkStandin, command: Command) -> None:
    """Set the one-way delay to ``delay_s`` seconds."""
    for direction in (standin.outward, standin.homeward):
        direction.delay_s = command.number("delay_s", direction.delay_s)


def _relay(text: str, forward: LinkDirection, backward: LinkDirection) -> LinkRelay:
    listen, _, target = text.partition("=")
    address, _, port = listen.rpartition(":")
    target_address, _, target_port = target.rpartition(":")
    return LinkRelay(
        address, int(port), target_address, int(target_port), forward, backward
    )


def main(
    *,
    port: int,
    address: str = "127.0.0.1",
    there: list[str] | None = None,
    back: list[str] | None = None,
    lifetime: float = DEFAULT_LIFETIME_S,
) -> None:
    """Relay connections of two regions; ``port`` is the control endpoint."""
    run_standins([LinkStandin(there or [], back or [], address, port)], lifetime)


if __name__ == "__main__":
    cyclopts.run(main)
