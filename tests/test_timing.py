"""Tests for the timer service and the registry."""

import random
import unittest

from crocusward.devtools.virtual_loop import VirtualLoop
from crocusward.errors import CrocusError
from crocusward.registry import Registry
from crocusward.timing import LoopTimer


class TimerTest(unittest.TestCase):
    def setUp(self):
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)
        self.timer = LoopTimer(self.loop, random.Random(1))

    def test_cancelled_periodic_call_stops(self):
        """Guards against a periodic call that continues after cancellation."""
        fired = []
        subscription = self.timer.every(1.0, lambda: fired.append(self.timer.now()))
        self.loop.advance(3.5)
        subscription.cancel()
        count = len(fired)
        self.loop.advance(5.0)
        self.assertEqual(count, 3)
        self.assertEqual(len(fired), count)

    def test_callback_may_cancel_its_own_subscription(self):
        """Guards against rescheduling after the callback cancels its own handle."""
        fired = []

        def once():
            fired.append(1)
            subscription.cancel()

        subscription = self.timer.every(1.0, once)
        self.loop.advance(5.0)
        self.assertEqual(fired, [1])


class RegistryTest(unittest.TestCase):
    def test_unknown_name_suggests_closest_name(self):
        """Guards against an error without the suggested spelling."""
        registry = Registry("policy")
        registry.register("random")(object())
        with self.assertRaisesRegex(CrocusError, "did you mean 'random'"):
            registry.get("randon")
