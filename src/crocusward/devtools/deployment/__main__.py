"""Prepares a deployment: writes its files and start commands."""

from pathlib import Path

import cyclopts

from ._prepare import PrepareOptions, prepare
from ._shape import load_shape


def main(
    example: Path,
    directory: Path,
    *,
    port_base: int = 18_000,
    network: int = 20,
    hosts: int = 0,
    mean_ms: float = 10.0,
    antagonist_share: float = 0.0,
    cold_start: bool = False,
    policy: str = "",
    rate_factor: float = 1.0,
) -> None:
    """Write the files of a deployment into a directory."""
    options = PrepareOptions(
        port_base=port_base,
        network=network,
        hosts=hosts,
        mean_ms=mean_ms,
        antagonist_share=antagonist_share,
        cold_start=cold_start,
        policy=policy,
        rate_factor=rate_factor,
    )
    prepare(load_shape(example), directory, options)


if __name__ == "__main__":
    cyclopts.run(main)
