"""crocusward: a load balancer for backend servers whose load shifts quickly."""

__version__ = "0.1.0"

__all__ = ["__version__"]
