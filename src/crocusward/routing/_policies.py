"""Policies that choose between backend servers."""

import random
from collections.abc import Sequence
from typing import Protocol

from ..registry import Registry
from ._view import MEMORY_S, BackendView

SAMPLES = 4  # servers compared for one request, besides those that just answered


class Policy(Protocol):
    """Chooses one of several backend servers.

    Attributes:
        queues: Whether requests wait here once the servers' limits are reached.
    """

    queues: bool

    def pick(
        self, views: Sequence[BackendView], now_s: float, rng: random.Random
    ) -> BackendView | None:
        """Return a server with room, or None.

        Args:
            views: Servers that may take the request, at least one.
            now_s: Monotonic time, in seconds.
            rng: Source of randomness.
        """


policies: Registry[Policy] = Registry("routing policy")


def sample_index(count: int, rng: random.Random) -> int:
    """Return a random index; much cheaper than ``randrange``."""
    return int(rng.random() * count)


class RandomPolicy:
    """Uniform random choice."""

    __slots__ = ()
    queues = False

    def pick(
        self, views: Sequence[BackendView], now_s: float, rng: random.Random
    ) -> BackendView | None:
        """Return a random server whose warmth has room."""
        view = views[sample_index(len(views), rng)]
        if view.in_flight < view.warm_limit:
            return view
        usable = [item for item in views if item.in_flight < item.warm_limit]
        return usable[sample_index(len(usable), rng)] if usable else None


class TwoChoicesPolicy:
    """The less loaded of two random servers, by own requests in flight."""

    __slots__ = ()
    queues = False

    def pick(
        self, views: Sequence[BackendView], now_s: float, rng: random.Random
    ) -> BackendView | None:
        """Return the server with fewer own requests in flight."""
        usable = [item for item in views if item.in_flight < item.warm_limit]
        if not usable:
            return None
        first = usable[sample_index(len(usable), rng)]
        second = usable[sample_index(len(usable), rng)]
        return second if second.in_flight < first.in_flight else first


class LeastWaitPolicy:
    """The least estimated wait among random servers and those that just answered."""

    __slots__ = ()
    queues = True

    def pick(
        self, views: Sequence[BackendView], now_s: float, rng: random.Random
    ) -> BackendView | None:
        """Return the server with room and the least estimated wait."""
        best = least_wait(draw(views, rng), now_s)
        return best if best is not None else least_wait(views, now_s)


class HotColdPolicy:
    """The rule of Prequal (Wydrowski et al., NSDI 2024) on reports in answers.

    A server is hot if its estimated requests in flight exceed a quantile of recent
    reports. The fastest cold server is chosen, or the least loaded one if all are
    hot. Prequal fills its pool with asynchronous probes; here the probe budget is a
    thirtieth of the answers, so the pool is a random sample and the servers that
    answered last.
    """

    __slots__ = ()
    queues = True

    def pick(
        self, views: Sequence[BackendView], now_s: float, rng: random.Random
    ) -> BackendView | None:
        """Return the fastest cold server with room, or the least loaded."""
        pool = [view for view in draw(views, rng) if view.in_flight < view.limit]
        if not pool:
            pool = [view for view in views if view.in_flight < view.limit]
        if not pool:
            return None
        hot = views[0].service.hot_load
        cold = [view for view in pool if view.in_flight + view.others <= hot]
        if cold:
            return min(cold, key=lambda view: view.speed_at(now_s))
        return min(pool, key=lambda view: view.in_flight + view.others)


def draw(views: Sequence[BackendView], rng: random.Random) -> Sequence[BackendView]:
    """Return a random sample and the servers that answered last.

    A run of neighbours would need one random number only, but measured worse
    (docs/routing.md).
    """
    count = len(views)
    if count <= SAMPLES:
        return views
    rand = rng.random
    sample = [views[int(rand() * count)] for _ in range(SAMPLES)]
    service = views[0].service
    region = views[0].backend.region
    recent = service.recent.get(region, ())
    if views is service.open_by_region.get(region):
        for view in recent:
            if view.is_open:
                sample.append(view)
    else:
        sample += [view for view in recent if view in views]
    return sample


def least_wait(views: Sequence[BackendView], now_s: float) -> BackendView | None:
    """Return the server with room and the least estimated wait, or None."""
    best = None
    best_s = 1e18
    service = views[0].service
    slots = service.slots
    mean_s = service.mean_unqueued_time_s
    mean = service.mean_others
    for view in views:
        if view.in_flight >= view.limit:
            continue
        # BackendView.wait_s, inlined: this loop is most of the cost of a request.
        known = MEMORY_S / (MEMORY_S + now_s - view.report_s)
        wait_s = mean_s + (view.speed_s - mean_s) * known
        queued = view.in_flight + mean + (view.others - mean) * known + 1 - slots
        if queued > 0.0:
            wait_s *= 1.0 + queued / slots
        if wait_s < best_s:
            best = view
            best_s = wait_s
    return best


policies.register("random")(RandomPolicy())
policies.register("two_choices")(TwoChoicesPolicy())
policies.register("least_wait")(LeastWaitPolicy())
policies.register("hot_cold")(HotColdPolicy())
