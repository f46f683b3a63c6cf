"""Decode the settings file of an entry."""

import math
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

    Raise InvalidSettings with the path of a key that is missing or malformed.
    """
    limits, bounds = _table(fields, "limits"), _table(fields, "bounds")
    vm_service = _table(fields, "cloudApi")
    return EntryNode(
        entry=EntryId(_require(fields, "nodeName", str)),
        zone=ZoneName(_require(fields, "zone", str)),
        front=_require_address(fields, "listenAddrs", "front"),
        ready=_require_address(fields, "listenAddrs", "readyAddr"),
        peer=_peer_address(fields),
        store=_require_address(fields, "platform", "address"),
        machines=_optional_address(vm_service.get("address"), "cloudApi.address"),
        advice=_optional_address(fields.get("advice"), "advice"),
        cpu_cores=_number(limits, "limits.cpuShare", 1.0)
        * _number(limits, "limits.cores", 1.0),
        memory_mb=int(_number(limits, "limits.memoryMb", 0.0)),
        heartbeat_ms=int(_number(fields, "heartbeatMs", 1_500.0)),
        bounds=_decode_bounds(bounds),
        max_fds=int(_number(limits, "limits.maxFds", 0.0)),
        link_mbps=_number(limits, "limits.linkMbps", 1_000.0),
        vm_orders_per_s=_number(vm_service, "cloudApi.dutiesPerS", DEFAULT_PER_S),
    )


def _table(fields: dict, name: str) -> dict:
    value = fields.get(name, {})
    if not isinstance(value, dict):
        raise InvalidSettings(f"{name}: a table is needed, not {value!r}")
    return value


def _number(fields: dict, path: str, fallback: float) -> float:
    """Return a finite number of at least 0; `path` ends with the key in `fields`."""
    value = fields.get(path.rpartition(".")[2])
    if value is None:
        return fallback
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not is_number or not 0 <= value < math.inf:
        raise InvalidSettings(f"{path}: a number from 0 is needed, not {value!r}")
    return float(value)


def _decode_bounds(fields: dict) -> Bounds:
    default = Bounds()

    def read_ms(name: str, fallback: int, factor: float = 1) -> int:
        return int(_number(fields, f"bounds.{name}", fallback / factor) * factor)

    return Bounds(
        contact_ms=read_ms("contactMs", default.contact_ms),
        max_lease_ms=read_ms("holdMaxMs", default.max_lease_ms),
        stop_ms=read_ms("stopMs", default.stop_ms),
        cancel_ms=read_ms("cancel_ms", default.cancel_ms),
        gang_wait_ms=read_ms("gangMs", default.gang_wait_ms),
        grace_ms=read_ms("graceS", default.grace_ms, 1000),
        drain_ms=read_ms("drainMs", default.drain_ms),
        early_ms=read_ms("early_ms", default.early_ms),
        status_ms=read_ms("status_s", default.status_ms, 1000),
        notice_ms=read_ms("noticeMs", default.notice_ms),
        move_ms=read_ms("moveS", default.move_ms, 1000),
        upkeep_ms=read_ms("upkeepS", default.upkeep_ms, 1000),
        duty_handover_ms=read_ms("leaseMs", default.duty_handover_ms),
        remote_rack_factor=_number(fields, "bounds.farX", default.remote_rack_factor),
        config_apply_ms=read_ms("configApplyMs", default.config_apply_ms),
        is_revoke_strict=fields.get("strictRevoke") is True,
        revoke_ms=read_ms("revokeMs", default.revoke_ms),
        quota_window_ms=read_ms("quotaWindowS", default.quota_window_ms, 1000),
        quota_overage=_number(fields, "bounds.quotaOverage", default.quota_overage),
        quota_slack_jobs=int(
            _number(fields, "bounds.quotaSlack", default.quota_slack_jobs)
        ),
        harm_ms=read_ms("harmMs", default.harm_ms),
    )


def _require(fields: dict, name: str, expected_type: type) -> object:
    value = fields.get(name)
    if not isinstance(value, expected_type):
        raise InvalidSettings(
            f"{name}: a {expected_type.__name__} is needed, not {value!r}"
        )
    return value


def _require_address(fields: dict, table: str, name: str) -> Address:
    path = f"{table}.{name}"
    address = _optional_address(_table(fields, table).get(name), path)
    if address is None:
        raise InvalidSettings(f"{path}: an address IP:PORT is needed")
    return address


def _peer_address(fields: dict) -> Address:
    """Return the address for other entries: the first port of `portRange`."""
    ports = fields.get("portRange")
    if not (isinstance(ports, list) and len(ports) == 2):
        raise InvalidSettings("portRange: two ports are needed")
    return Address(_require(fields, "ip", str), _port(ports[0], "portRange"))


def _optional_address(text: object, path: str) -> Address | None:
    if not isinstance(text, str) or ":" not in text:
        return None
    host, _, port = text.rpartition(":")
    return Address(host, _port(port, path))


def _port(value: object, path: str) -> int:
    try:
        port = int(value)
    except (TypeError, ValueError):
        port = 0
    if not 0 < port < 65_536:
        raise InvalidSettings(
            f"{path}: a port from 1 to 65535 is needed, not {value!r}"
        )
    return port
