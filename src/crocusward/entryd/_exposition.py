"""Metrics of the daemon in the Prometheus text format."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ._process import EntryProcess

PREFIX = "crocusward_entry_"
QUANTILES = (0.5, 0.9, 0.99)


def format_metrics(process: "EntryProcess") -> bytes:
    """Return all metrics as UTF-8 text."""
    lines: list[str] = []
    _add_requests(lines, process)
    _add_latencies(lines, process)
    now_s = process.timer.now()
    state = process.directory.state
    gauges = {
        "desired_state_version": state.version if state else 0,
        "backends": len(process.directory.backends),
        "data_centres_out": len(process.directory.data_centres_out),
        "backends_cold": sum(
            load.is_cold(now_s) for load in process.load_table.loads.values()
        ),
        "backends_rate_limited": sum(
            bool(load.rate_limit) for load in process.load_table.loads.values()
        ),
        "limits_unconfirmed": process.hub.unconfirmed_limits,
        "neighbours_live": len(process.neighbours.list_live(now_s)),
        "hosts_known": process.hub.fleet_size,
        "requests_pending": process.callers.pending,
        "connections": len(process.callers.connections),
        "connections_lingering": len(process.callers.lingering),
        "store_calls": process.store.call_count,
        "store_era": max(item.copy.era for item in process.followers.values()),
        "store_rows_kept": sum(
            item.copy.kept_count for item in process.followers.values()
        ),
        "crashing_requests": len(process.crash_watch.registry.records),
        "crashing_requests_blocked": process.crash_watch.registry.count_blocked(),
        "invariant_violations": sum(process.invariants.violations.values()),
        "log_lines_dropped": process.dropped_log_lines,
    }
    for name, value in gauges.items():
        lines.append(f"# TYPE {PREFIX}{name} gauge")
        lines.append(f"{PREFIX}{name} {value}")
    lines.append(f"# TYPE {PREFIX}table_age_seconds gauge")
    for table, follower in process.followers.items():
        age_s = min(1e9, now_s - follower.answered_s)
        lines.append(f'{PREFIX}table_age_seconds{{table="{table}"}} {age_s:.3f}')
    _add_holds(lines, process, now_s)
    lines.append(f"# TYPE {PREFIX}rate_limit_events_total counter")
    for event, count in process.rate_limits.events.items():
        lines.append(f'{PREFIX}rate_limit_events_total{{event="{event}"}} {count}')
    lines.append(f"# TYPE {PREFIX}backend_notices_total counter")
    for event, count in process.notices.events.items():
        lines.append(f'{PREFIX}backend_notices_total{{event="{event}"}} {count}')
    lines.append(f"# TYPE {PREFIX}crash_events_total counter")
    for event, count in process.crash_watch.events.items():
        lines.append(f'{PREFIX}crash_events_total{{event="{event}"}} {count}')
    lines.append(f"# TYPE {PREFIX}slot_offers_ignored_total counter")
    for reason, count in process.hub.ignored_offers.items():
        lines.append(f'{PREFIX}slot_offers_ignored_total{{reason="{reason}"}} {count}')
    lines.append(f"# TYPE {PREFIX}stop_requests_total counter")
    for end, count in process.relay.stop_requests.items():
        lines.append(f'{PREFIX}stop_requests_total{{end="{end}"}} {count}')
    _add_connections(lines, process)
    return ("\n".join(lines) + "\n").encode("utf-8")


def _add_holds(lines: list[str], process: "EntryProcess", now_s: float) -> None:
    """Add what holds rows of the store's tables back."""
    copies = [follower.copy for follower in process.followers.values()]
    metrics: dict[str, list[float]] = {
        "removal_hold_seconds": [copy.deferral_left_s(now_s) for copy in copies],
        "removals_held": [len(copy.deferred_keys) for copy in copies],
        "rows_lost_by_store": [len(copy.lost_keys) for copy in copies],
        "rows_withheld": [len(copy.withheld_keys) for copy in copies],
    }
    for name, values in metrics.items():
        lines.append(f"# TYPE {PREFIX}{name} gauge")
        for copy, value in zip(copies, values, strict=True):
            lines.append(f'{PREFIX}{name}{{table="{copy.name}"}} {value:g}')


def _add_connections(lines: list[str], process: "EntryProcess") -> None:
    lines.append(f"# TYPE {PREFIX}linger_ends_total counter")
    for end, count in process.callers.linger_ends.items():
        lines.append(f'{PREFIX}linger_ends_total{{reason="{end}"}} {count}')
    lines.append(f"# TYPE {PREFIX}row_pulls_total counter")
    for outcome, count in process.row_replicator.outcomes.items():
        lines.append(f'{PREFIX}row_pulls_total{{outcome="{outcome}"}} {count}')
    lines.append(f"# TYPE {PREFIX}complete_pages_sent_total counter")
    count = process.row_replicator.complete_pages
    lines.append(f"{PREFIX}complete_pages_sent_total {count}")
    memory = process.backend_pool.memory_budget
    if memory is not None:
        lines.append(f"# TYPE {PREFIX}answer_memory_bytes gauge")
        lines.append(f"{PREFIX}answer_memory_bytes {memory.used_bytes}")
        lines.append(f"# TYPE {PREFIX}answers_given_up_total counter")
        lines.append(f"{PREFIX}answers_given_up_total {memory.aborted_count}")
    pacers = {
        "store": process.store_pool.pacer,
        "backends": process.backend_pool.pacer,
        "callers": process.callers.pacer,
    }
    lines.append(f"# TYPE {PREFIX}paced_reads_total counter")
    for source, pacer in pacers.items():
        count = pacer.pause_count
        lines.append(f'{PREFIX}paced_reads_total{{from="{source}"}} {count}')
    pools = {"store": process.store_pool, "backends": process.backend_pool}
    metrics = {
        "silent_connections": "silent_connections",
        "distrusted_connections": "distrusted_connections",
        "answers_skipped": "skipped_answers",
        "invalid_statuses": "invalid_statuses",
    }
    for metric, attribute in metrics.items():
        lines.append(f"# TYPE {PREFIX}{metric}_total counter")
        for to, pool in pools.items():
            count = getattr(pool, attribute)
            lines.append(f'{PREFIX}{metric}_total{{to="{to}"}} {count}')


def _add_requests(lines: list[str], process: "EntryProcess") -> None:
    lines.append(f"# TYPE {PREFIX}requests_total counter")
    for (route, outcome), count in process.request_log.outcomes.items():
        labels = f'route="{route}",outcome="{outcome}"'
        lines.append(f"{PREFIX}requests_total{{{labels}}} {count}")
    lines.append(f"# TYPE {PREFIX}attempts_total counter")
    for (end, evidence), count in process.request_log.attempt_ends.items():
        labels = f'end="{end}",evidence="{evidence}"'
        lines.append(f"{PREFIX}attempts_total{{{labels}}} {count}")


def _add_latencies(lines: list[str], process: "EntryProcess") -> None:
    lines.append(f"# TYPE {PREFIX}latency_seconds summary")
    for route, recorder in process.request_log.latencies.items():
        for quantile, value_s in zip(
            QUANTILES, recorder.quantiles_s(QUANTILES), strict=True
        ):
            labels = f'route="{route}",quantile="{quantile:g}"'
            lines.append(f"{PREFIX}latency_seconds{{{labels}}} {value_s:g}")
        labels = f'route="{route}"'
        lines.append(f"{PREFIX}latency_seconds_count{{{labels}}} {recorder.total}")
