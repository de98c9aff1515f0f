"""Connections between the kernel's queue and their protocols."""

import asyncio
import socket

MAX_QUEUED = 2048  # connections that are accepted at the end of a listener
# Iterations of the loop from the accept of a connection until its protocol knows it.
ACCEPT_ITERATIONS = 4
ACCEPT_TIME_S = 1.0  # from an accept until a handshake, or a first request, is here


async def end_accepting(server: asyncio.Server) -> list[socket.socket]:
    """Close a listening server; return the connections that the kernel had queued.

    Those that the loop has accepted open first: ``Server.close`` would drop them.
    """
    listener = server.sockets[0]
    asyncio.get_running_loop().remove_reader(listener)
    try:
        for _ in range(ACCEPT_ITERATIONS):
            await asyncio.sleep(0.0)
        # The copy keeps the port open until the queue is empty.
        with listener.dup() as sock:
            server.close()
            return _accept_queued(sock)
    finally:
        server.close()


def _accept_queued(sock: socket.socket) -> list[socket.socket]:
    found: list[socket.socket] = []
    while len(found) < MAX_QUEUED:
        try:
            conn, _ = sock.accept()
        except OSError:  # none is left, or no file descriptor
            break
        conn.setblocking(False)
        found.append(conn)
    return found
