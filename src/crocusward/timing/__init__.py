"""Timer service: clock, timers and sleep, replaceable in tests."""

from ._timer import LoopTimer, Subscription, TimerService

__all__ = ["LoopTimer", "Subscription", "TimerService"]
