"""Define which optional parts of the dispatch are switched on.

They stand in a TOML file of the product, `deploy/features.toml`, beside the settings
that the platform writes. A part that is off leaves the earlier behavior in place.
"""

import tomllib
from dataclasses import dataclass, fields
from pathlib import Path


class InvalidFeatures(ValueError):
    """Raised when the file of features is unreadable or has a wrong key or value."""


@dataclass(frozen=True)
class Features:
    """Store which parts are on.

    `workspace_shares` ranks jobs of workspaces by share and rate; their keys and limits
    follow the configuration alone. `predictive_admission` refuses jobs by their
    predicted end, `overload_order` places jobs by what can still be in time,
    `interference` keeps apart tasks that slow each other down, and `demand_forecast`
    orders VMs before a turn of demand that can be foreseen.
    """

    workspace_shares: bool = True
    predictive_admission: bool = False
    overload_order: bool = False
    interference: bool = False
    demand_forecast: bool = False


def load_features(path: Path) -> Features:
    """Read a file of features; raise InvalidFeatures that names a wrong key.

    Example of a file: `interference = true`. A part that is left out has its default.
    """
    try:
        values = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise InvalidFeatures(f"{path}: {error}") from error
    known = [field.name for field in fields(Features)]
    for name, value in values.items():
        if name not in known:
            raise InvalidFeatures(
                f"{path}: {name}: unknown, allowed are {', '.join(known)}"
            )
        if not isinstance(value, bool):
            raise InvalidFeatures(
                f"{path}: {name}: true or false is needed, not {value!r}"
            )
    return Features(**values)
