"""Long computations on the event loop, cut into steps.

A computation is a generator that yields between steps of less than a millisecond
and returns its result.
"""

import asyncio
from collections.abc import Generator
from typing import TypeVar

T = TypeVar("T")

Steps = Generator[None, None, T]


def run_steps(steps: Steps[T]) -> T:
    """Run all steps at once and return the result."""
    while True:
        try:
            next(steps)
        except StopIteration as exc:
            return exc.value


async def run_steps_apart(steps: Steps[T]) -> T:
    """Run all steps, letting other tasks run in between, and return the result."""
    while True:
        try:
            next(steps)
        except StopIteration as exc:
            return exc.value
        await asyncio.sleep(0)
