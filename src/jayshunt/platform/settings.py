"""Decode the platform's settings file into the product's settings."""

import os
import tomllib
from pathlib import Path

from jayshunt.dispatch.models import Address, Bounds, EntryNode
from jayshunt.dispatch.order_budget import DEFAULT_PER_S
from jayshunt.ids import EntryId, ZoneName
from jayshunt.platform.const import SETTINGS_VARIABLE


class InvalidSettings(ValueError):
    """Report a key of the settings file that is missing or malformed."""


def settings_path() -> Path:
    """Return the path that the environment names, or raise InvalidSettings."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise InvalidSettings(f"the variable {SETTINGS_VARIABLE} is not set")
    return Path(path)


def load_settings(path: Path) -> EntryNode:
    """Read one settings file; unknown keys are ignored, as new ones may come."""
    try:
        fields = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise InvalidSettings(f"{path}: {error}") from error
    return decode_settings(fields)


def decode_settings(fields: dict) -> EntryNode:
    """Return the settings of this process.

    Raise InvalidSettings with the path of the key that is missing or wrong.
    """
    return EntryNode(
        entry=EntryId(_get(fields, "nodeName", str)),
        zone=ZoneName(_get(fields, "zone", str)),
        front=_address(fields, "listenAddrs", "front"),
        ready=_address(fields, "listenAddrs", "readyAddr"),
        peer=_peer_address(fields),
        store=_address(fields, "platform", "address"),
        machines=_optional_address(fields.get("cloudApi", {}).get("address")),
        advice=_optional_address(fields.get("advice")),
        cpu_cores=float(fields.get("limits", {}).get("cpuShare", 1.0))
        * float(fields.get("limits", {}).get("cores", 1)),
        memory_mb=int(fields.get("limits", {}).get("memoryMb", 0)),
        heartbeat_ms=int(fields.get("heartbeatMs", 1_500)),
        bounds=_bounds(fields.get("bounds", {})),
        link_mbps=float(fields.get("limits", {}).get("linkMbps", 1_000.0)),
        vm_orders_per_s=float(
            fields.get("cloudApi", {}).get("dutiesPerS", DEFAULT_PER_S)
        ),
    )


def _bounds(fields: dict) -> Bounds:
    default = Bounds()

    def ms(name: str, fallback: int, factor: float = 1) -> int:
        value = fields.get(name)
        return fallback if value is None else int(float(value) * factor)

    return Bounds(
        max_lease_ms=ms("holdMaxMs", default.max_lease_ms),
        stop_ms=ms("stopMs", default.stop_ms),
        gang_wait_ms=ms("gangMs", default.gang_wait_ms),
        grace_ms=ms("graceS", default.grace_ms, 1000),
        drain_ms=ms("drainMs", default.drain_ms),
        early_ms=ms("early_ms", default.early_ms),
        status_ms=ms("status_s", default.status_ms, 1000),
        notice_ms=ms("noticeMs", default.notice_ms),
        move_ms=ms("moveS", default.move_ms, 1000),
        upkeep_ms=ms("upkeepS", default.upkeep_ms, 1000),
        duty_handover_ms=ms("leaseMs", default.duty_handover_ms),
        remote_rack_factor=float(fields.get("farX", default.remote_rack_factor)),
    )


def _get(fields: dict, name: str, kind: type) -> object:
    value = fields.get(name)
    if not isinstance(value, kind):
        raise InvalidSettings(f"{name}: a {kind.__name__} is needed, not {value!r}")
    return value


def _address(fields: dict, table: str, name: str) -> Address:
    address = _optional_address(fields.get(table, {}).get(name))
    if address is None:
        raise InvalidSettings(f"{table}.{name}: an address IP:PORT is needed")
    return address


def _peer_address(fields: dict) -> Address:
    """Return where other entries reach this one: the first port left free for it."""
    ports = fields.get("portRange")
    if not (isinstance(ports, list) and len(ports) == 2):
        raise InvalidSettings("portRange: two ports are needed")
    return Address(_get(fields, "ip", str), int(ports[0]))


def _optional_address(text: object) -> Address | None:
    if not isinstance(text, str) or ":" not in text:
        return None
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
