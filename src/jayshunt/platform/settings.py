"""Decode the settings file of an entry."""

import os
import tomllib
from pathlib import Path

from jayshunt.dispatch.models import Address, Bounds, EntryNode
from jayshunt.dispatch.order_budget import DEFAULT_PER_S
from jayshunt.ids import EntryId, ZoneName
from jayshunt.platform.const import SETTINGS_VARIABLE


class InvalidSettings(ValueError):
    """Raised when the settings file, or a key of it, is missing or malformed."""


def settings_path() -> Path:
    """Return the path given by the environment variable SETTINGS_VARIABLE.

    Raise InvalidSettings if the variable is not set.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise InvalidSettings(f"the variable {SETTINGS_VARIABLE} is not set")
    return Path(path)


def load_settings(path: Path) -> EntryNode:
    """Read a settings file.

    Unknown keys are ignored, since later versions of the platform may add some.
    """
    try:
        fields = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise InvalidSettings(f"{path}: {error}") from error
    return decode_settings(fields)


def decode_settings(fields: dict) -> EntryNode:
    """Decode the settings of this process.

    Raise InvalidSettings with the path of a required key that is missing or has the
    wrong type. Malformed numbers, ports and tables raise the ValueError, TypeError
    or AttributeError of their conversion.
    """
    return EntryNode(
        entry=EntryId(_require(fields, "nodeName", str)),
        zone=ZoneName(_require(fields, "zone", str)),
        front=_require_address(fields, "listenAddrs", "front"),
        ready=_require_address(fields, "listenAddrs", "readyAddr"),
        peer=_peer_address(fields),
        store=_require_address(fields, "platform", "address"),
        machines=_optional_address(fields.get("cloudApi", {}).get("address")),
        advice=_optional_address(fields.get("advice")),
        cpu_cores=float(fields.get("limits", {}).get("cpuShare", 1.0))
        * float(fields.get("limits", {}).get("cores", 1)),
        memory_mb=int(fields.get("limits", {}).get("memoryMb", 0)),
        heartbeat_ms=int(fields.get("heartbeatMs", 1_500)),
        bounds=_decode_bounds(fields.get("bounds", {})),
        link_mbps=float(fields.get("limits", {}).get("linkMbps", 1_000.0)),
        vm_orders_per_s=float(
            fields.get("cloudApi", {}).get("dutiesPerS", DEFAULT_PER_S)
        ),
    )


def _decode_bounds(fields: dict) -> Bounds:
    default = Bounds()

    def read_ms(name: str, fallback: int, factor: float = 1) -> int:
        value = fields.get(name)
        return fallback if value is None else int(float(value) * factor)

    return Bounds(
        max_lease_ms=read_ms("holdMaxMs", default.max_lease_ms),
        stop_ms=read_ms("stopMs", default.stop_ms),
        gang_wait_ms=read_ms("gangMs", default.gang_wait_ms),
        grace_ms=read_ms("graceS", default.grace_ms, 1000),
        drain_ms=read_ms("drainMs", default.drain_ms),
        early_ms=read_ms("early_ms", default.early_ms),
        status_ms=read_ms("status_s", default.status_ms, 1000),
        notice_ms=read_ms("noticeMs", default.notice_ms),
        move_ms=read_ms("moveS", default.move_ms, 1000),
        upkeep_ms=read_ms("upkeepS", default.upkeep_ms, 1000),
        duty_handover_ms=read_ms("leaseMs", default.duty_handover_ms),
        remote_rack_factor=float(fields.get("farX", default.remote_rack_factor)),
    )


def _require(fields: dict, name: str, expected_type: type) -> object:
    value = fields.get(name)
    if not isinstance(value, expected_type):
        raise InvalidSettings(
            f"{name}: a {expected_type.__name__} is needed, not {value!r}"
        )
    return value


def _require_address(fields: dict, table: str, name: str) -> Address:
    address = _optional_address(fields.get(table, {}).get(name))
    if address is None:
        raise InvalidSettings(f"{table}.{name}: an address IP:PORT is needed")
    return address


def _peer_address(fields: dict) -> Address:
    """Return the address for other entries: the first port of `portRange`."""
    ports = fields.get("portRange")
    if not (isinstance(ports, list) and len(ports) == 2):
        raise InvalidSettings("portRange: two ports are needed")
    return Address(_require(fields, "ip", str), int(ports[0]))


def _optional_address(text: object) -> Address | None:
    if not isinstance(text, str) or ":" not in text:
        return None
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
