"""Files that start a deployment of stand-ins and daemons on loopback."""

from ._plan import EntryPlan, Plan, load_plan
from ._prepare import PrepareOptions, prepare
from ._shape import CallShape, CentreShape, DeploymentShape, load_shape

__all__ = [
    "CallShape",
    "CentreShape",
    "DeploymentShape",
    "EntryPlan",
    "Plan",
    "PrepareOptions",
    "load_plan",
    "load_shape",
    "prepare",
]
