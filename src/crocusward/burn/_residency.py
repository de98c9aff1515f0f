"""Which counts a region may see."""

from ..metrics import SeriesKey
from ..model import FleetConfig


def is_visible(key: SeriesKey, region: str, cfg: FleetConfig) -> bool:
    """Return True if a report in ``region`` may contain a series.

    A contract with home regions appears only there. Counts of a contract that this
    version does not know stay where they were made, because its home regions are
    unknown; that includes the shared series of label sets above the bound.

    Args:
        key: Labels of the series.
        region: Region of the report.
        cfg: Configuration in force.
    """
    contract = cfg.contracts.get(key.contract)
    if contract is None:
        return key.region == region
    for home in (contract.home.serve, contract.home.keep):
        if home and region not in home:
            return False
    if key.region == region:
        return True
    limits = (route.serve_regions for route in contract.routes if route.serve_regions)
    return not any(key.region in limit and region not in limit for limit in limits)
