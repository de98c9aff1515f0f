"""Load-balancing policies that pick one of several backend servers."""

import random
from collections.abc import Sequence
from typing import Protocol

from ..registry import Registry
from ._backend_view import REPORT_HALF_AGE_S, BackendView

SAMPLE_COUNT = 4  # random servers compared per request, besides the latest to answer


class Policy(Protocol):
    """Picks one of several backend servers.

    Attributes:
        has_queue: Whether requests queue at this host once all servers are at their
            limits.
    """

    has_queue: bool

    def pick(
        self, views: Sequence[BackendView], now_s: float, rng: random.Random
    ) -> BackendView | None:
        """Return a server below its limit, or None.

        Args:
            views: Servers that may take the request, at least one.
            now_s: Monotonic time, in seconds.
            rng: Source of randomness.
        """


policies: Registry[Policy] = Registry("routing policy")


def random_index(count: int, rng: random.Random) -> int:
    """Return a random index; much cheaper than ``randrange``."""
    return int(rng.random() * count)


class RandomPolicy:
    """Uniform random choice."""

    __slots__ = ()
    has_queue = False

    def pick(
        self, views: Sequence[BackendView], now_s: float, rng: random.Random
    ) -> BackendView | None:
        """Return a random server below its slow-start limit."""
        view = views[random_index(len(views), rng)]
        if view.in_flight < view.slow_start_limit:
            return view
        available = [item for item in views if item.in_flight < item.slow_start_limit]
        return available[random_index(len(available), rng)] if available else None


class TwoChoicesPolicy:
    """The less loaded of two random servers, by this host's requests in flight."""

    __slots__ = ()
    has_queue = False

    def pick(
        self, views: Sequence[BackendView], now_s: float, rng: random.Random
    ) -> BackendView | None:
        """Return the server with fewer requests in flight from this host."""
        available = [item for item in views if item.in_flight < item.slow_start_limit]
        if not available:
            return None
        first = available[random_index(len(available), rng)]
        second = available[random_index(len(available), rng)]
        return second if second.in_flight < first.in_flight else first


class LeastWaitPolicy:
    """The least estimated wait among random servers and the latest to answer."""

    __slots__ = ()
    has_queue = True

    def pick(
        self, views: Sequence[BackendView], now_s: float, rng: random.Random
    ) -> BackendView | None:
        """Return the server below its limit with the least estimated wait."""
        best = pick_least_wait(draw_candidates(views, rng), now_s)
        return best if best is not None else pick_least_wait(views, now_s)


class HotColdPolicy:
    """The hot-cold rule of Prequal (Wydrowski et al., NSDI 2024) on load reports.

    A server is hot if its estimated requests in flight exceed a quantile of recent
    load reports. The fastest server that is not hot is picked, or the least loaded
    one if all are hot. Prequal fills its pool with asynchronous probes; here the
    probe budget is a thirtieth of the answers, so the pool is a random sample plus
    the latest servers to answer.
    """

    __slots__ = ()
    has_queue = True

    def pick(
        self, views: Sequence[BackendView], now_s: float, rng: random.Random
    ) -> BackendView | None:
        """Return the fastest server that is not hot, or the least loaded one."""
        pool = [
            view for view in draw_candidates(views, rng) if view.in_flight < view.limit
        ]
        if not pool:
            pool = [view for view in views if view.in_flight < view.limit]
        if not pool:
            return None
        hot = views[0].service.hot_load
        below_hot = [view for view in pool if view.in_flight + view.other_load <= hot]
        if below_hot:
            return min(below_hot, key=lambda view: view.estimate_unqueued_time(now_s))
        return min(pool, key=lambda view: view.in_flight + view.other_load)


def draw_candidates(
    views: Sequence[BackendView], rng: random.Random
) -> Sequence[BackendView]:
    """Return a random sample and the latest servers to answer.

    A run of adjacent servers would need only one random number, but gave worse
    latency (docs/routing.md).
    """
    count = len(views)
    if count <= SAMPLE_COUNT:
        return views
    rand = rng.random
    sample = [views[int(rand() * count)] for _ in range(SAMPLE_COUNT)]
    service = views[0].service
    region = views[0].backend.region
    recent = service.recent_by_region.get(region, ())
    if views is service.open_by_region.get(region):
        for view in recent:
            if view.is_open:
                sample.append(view)
    else:
        sample += [view for view in recent if view in views]
    return sample


def pick_least_wait(views: Sequence[BackendView], now_s: float) -> BackendView | None:
    """Return the server below its limit with the least estimated wait, or None."""
    best = None
    best_s = 1e18
    service = views[0].service
    slots = service.slots
    mean_s = service.mean_unqueued_time_s
    mean_other_load = service.mean_other_load
    for view in views:
        if view.in_flight >= view.limit:
            continue
        # BackendView.estimate_wait_s, inlined: this loop is most of the routing cost.
        report_weight = REPORT_HALF_AGE_S / (REPORT_HALF_AGE_S + now_s - view.report_s)
        wait_s = mean_s + (view.unqueued_time_s - mean_s) * report_weight
        queue_length = (
            view.in_flight
            + mean_other_load
            + (view.other_load - mean_other_load) * report_weight
            + 1
            - slots
        )
        if queue_length > 0.0:
            wait_s *= 1.0 + queue_length / slots
        if wait_s < best_s:
            best = view
            best_s = wait_s
    return best


policies.register("random")(RandomPolicy())
policies.register("two_choices")(TwoChoicesPolicy())
policies.register("least_wait")(LeastWaitPolicy())
policies.register("hot_cold")(HotColdPolicy())
