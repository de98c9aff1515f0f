"""Timer service: clock, timers and sleep, replaceable in tests."""

from ._timer import LoopTimer, Subscription, TimerService, boot_time_s

__all__ = ["LoopTimer", "Subscription", "TimerService", "boot_time_s"]
