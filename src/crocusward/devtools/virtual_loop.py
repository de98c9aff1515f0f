"""An asyncio loop whose clock jumps to the next timer, for tests."""

import asyncio
import selectors


class _JumpingSelector(selectors.BaseSelector):
    """Advances the virtual clock instead of waiting."""

    def __init__(self, step_s: float) -> None:
        self.now_s = 0.0
        self._step_s = step_s
        self._inner = selectors.SelectSelector()

    def register(self, fileobj, events, data=None):
        return self._inner.register(fileobj, events, data)

    def unregister(self, fileobj):
        return self._inner.unregister(fileobj)

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("the virtual loop has nothing left to run")
        self.now_s += max(self._step_s, timeout)
        return []

    def get_map(self):
        return self._inner.get_map()

    def close(self) -> None:
        self._inner.close()


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs coroutines in virtual time; no sockets may be used.

    Args:
        step_s: Least time between two iterations. With 0.0 a wait that is shorter than
            the resolution of the clock never ends.
    """

    def __init__(self, step_s: float = 0.0) -> None:
        self._jumping = _JumpingSelector(step_s)
        super().__init__(self._jumping)
        self._clock_resolution = 1e-9

    def time(self) -> float:
        """Return virtual time in seconds."""
        return self._jumping.now_s

    def advance(self, duration_s: float) -> None:
        """Run everything that falls due within ``duration_s`` seconds."""
        self.run_until_complete(asyncio.sleep(duration_s))
