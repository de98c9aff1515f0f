"""Works the measured slopes out at the target size."""

from ._fit import round_to_digits

CALLS_S = 180_000.0
BACKENDS = 540
CONTRACTS = 1_000
CHANGES_A_DAY = 1_700
DAY_S = 86_400.0
ENTRY_HOSTS = 14
DAEMON_LOAD = 0.6  # of a core; leaves room for the loss of a data centre and peaks
LEDGER_KEYS = 200_000  # the ledger refuses more
LEDGER_RETENTION_S = 900.0
ANSWER_STORE_BYTES = 32 * 1024 * 1024
STORE_WRITES_S = 400.0  # "several hundred"
REPORTS_S = 4.0  # periodic warmth reports per second

Table = dict


def work_out(report: Table) -> Table:
    """Return the figures at the target size for 14 daemons and for enough of them.

    Args:
        report: The report with its fits.
    """
    requests = next(d["requests"] for d in report["deployments"] if "requests" in d)
    per_core = requests["saturated"]["requests_per_core_s"][0]
    needed = CALLS_S / (per_core * DAEMON_LOAD)
    return {
        "requests_per_core_s": per_core,
        "daemons_needed": round(needed),
        "today": _at(report, ENTRY_HOSTS),
        "needed": _at(report, round(needed)),
    }


def _at(report: Table, daemons: int) -> Table:
    peers = daemons - 1
    routing = report["routing"]
    links = report["links"]
    half_warm = 2 * peers * REPORTS_S * routing["warmth_report_bytes_of_one"]
    region_hosts = _line(routing["set_region_hosts_s_per_host"], daemons / 2)
    table = {
        "daemons": daemons,
        "idle_control_bytes_s": _line(
            report["fits"]["per_peer"]["idle_control_bytes_s"], peers
        ),
        "heartbeat_bytes_s_limit": 2 * peers * routing["heartbeat_bytes_busy"],
        "busy_control_bytes_s": _line(links["bytes_per_s"], peers),
        "busy_control_bytes_s_with_tcp_ip": _line(
            links["bytes_per_s_with_tcp_ip"], peers
        ),
        "bytes_s_per_half_warm_server": half_warm,
        "heartbeat_bytes_s_between_regions_each_way": (
            (daemons / 2) ** 2 * routing["heartbeat_bytes_busy"]
        ),
        "control_cpu_share": _control_cpu(report, peers),
        "change_cpu_share": CHANGES_A_DAY
        / DAY_S
        * _line(report["changes"]["apply_s"], CONTRACTS),
        "link_event_s": region_hosts,
        "link_events_at_start_s": region_hosts * peers / 2,
        "full_warmth_reports_at_start_bytes": peers
        * _line(routing["warmth_report_bytes_per_backend"], BACKENDS),
        "head_polls_s": daemons,
        "memory_bytes": _memory(report, peers),
        "keyed_calls_s_of_ledgers": daemons * LEDGER_KEYS / LEDGER_RETENTION_S,
        "claims_s_at_store_writes": _claims_at(report["claims"], daemons),
    }
    return {name: round_to_digits(float(value)) for name, value in table.items()}


def _control_cpu(report: Table, peers: int) -> float:
    """Return the share of a core that an idle daemon uses.

    The cost of links is not taken from the deployments with several peers: there
    the number of probes of a daemon falls as the number of daemons rises.
    """
    by_backends = _line(report["fits"]["per_backend"]["idle_cpu_share"], BACKENDS)
    return by_backends + report["links"]["cpu_share_per_daemon"]["slope"] * (peers - 1)


def _memory(report: Table, peers: int) -> float:
    memory = report["memory"]
    fits = report["fits"]
    return (
        _line(fits["per_backend"]["rss_bytes"], BACKENDS)
        + fits["per_peer"]["rss_bytes"]["slope"] * peers
        + memory["bytes_per_contract"]["slope"] * CONTRACTS
        + memory["bytes_per_key"]["slope"] * LEDGER_KEYS
        + ANSWER_STORE_BYTES
    )


def _claims_at(claims: Table, daemons: int) -> float:
    """Return the claims a second of all daemons that the store's writes allow."""
    share = STORE_WRITES_S / daemons
    rates, per_1000 = claims["claims_per_s"], claims["writes_per_1000"]
    last_rate, last_writes = 0.0, 0.0
    for rate, writes in zip(rates, per_1000, strict=True):
        writes_s = rate * writes / 1000.0
        if writes_s >= share:
            part = (share - last_writes) / (writes_s - last_writes)
            return daemons * (last_rate + part * (rate - last_rate))
        last_rate, last_writes = rate, writes_s
    return float(daemons * rates[-1])


def _line(fit: Table, size: float) -> float:
    return float(fit["intercept"] + fit["slope"] * size)
