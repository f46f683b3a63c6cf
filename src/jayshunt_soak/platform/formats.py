"""Build the configuration, submissions and settings that an entry reads."""

import json

from jayshunt_soak.const import (
    CONFIG_APPLY_S,
    HEARTBEAT_S,
    HOLD_MAX_MS,
    HOST,
    KEPT_VERSIONS,
    MOVE_S,
    POOLS,
    PUBLIC_POOL,
    QUEUE_HOST,
    REVOKE_S,
    SPARE,
    STATUS_S,
    STOP_MS,
    UNGUARDED_POOL,
    WORKSPACES,
)

CONFIG_KEY = "op/config"
OPTIONAL_STEP_FIELDS = {
    "after": "after",
    "required_label": "requires",
    "max_per_worker": "antiAffinity",
    "lasts": "longRunning",
    "max_unavailable": "mayMiss",
}
# Every key starts with this, so that a check finds keys in logs and records.
KEY_MARK = "soak-key-"


def queue_path(pool: str) -> str:
    """Return the path under which jobs are submitted to a pool."""
    return f"/{pool}/"


def stable_key(workspace: str) -> str:
    """Return the key that a workspace has in every configuration."""
    return f"{KEY_MARK}{workspace}"


def versioned_key(workspace: str, version: int) -> str:
    """Return the key that a version adds to a workspace."""
    return f"{KEY_MARK}{workspace}-{version}"


def _workspace(name: str, version: int) -> dict:
    versions = range(max(1, version - KEPT_VERSIONS + 1), version + 1)
    keys = [stable_key(name), *(versioned_key(name, added) for added in versions)]
    limit = {"cpu": 0, "memMb": 0, "gpu": 0}
    row = {"name": name, "apiKeys": keys, "priority": 0, "maxCount": limit}
    return {**row, "weight": 1_000}


def config(version: int, queue_pools: dict[str, str] | None = None) -> bytes:
    """Return the operator's configuration: one queue for each pool, and workspaces.

    `queue_pools` gives the pool to which each queue is sent, by default its own.
    """
    queue_pools = queue_pools or {pool: pool for pool in POOLS}
    routes = [
        {
            "name": f"q-{pool}",
            "host": QUEUE_HOST,
            "prefix": queue_path(pool),
            "service": queue_pools[pool],
            "priority": number,
            "attempts": 3,
            "stretch": 2.0,
            "targetLatencyMs": 600,
            "public": pool == PUBLIC_POOL,
        }
        for number, pool in enumerate(POOLS)
    ]
    services = [
        {"name": pool, "rejectsOverload": pool != UNGUARDED_POOL} for pool in POOLS
    ]
    services.append({"name": SPARE, "rejectsOverload": True, "spare": True})
    document = {"version": version, "routes": routes, "services": services}
    document["tenants"] = [_workspace(name, version) for name in WORKSPACES]
    return json.dumps({**document, "limits": {}}).encode()


def submission(steps: list[dict]) -> bytes:
    """Return the body that submits a job.

    Each step has the keys count, ms, cpu, memory_mb, fails, crash_after_ms, lasts and
    after. It may have required_label, max_per_worker and max_unavailable.
    """
    work = max(steps, key=lambda step: step["ms"])
    keys = ("ms", "cpu", "memory_mb", "fails", "crash_after_ms", "lasts")
    payload = {key: work[key] for key in keys}
    rows = [
        {
            "count": step["count"],
            "cpu": work["cpu"],
            "memMb": work["memory_mb"],
            "estimateMs": work["ms"],
            **{
                name: step[key]
                for key, name in OPTIONAL_STEP_FIELDS.items()
                if step.get(key)
            },
        }
        for step in steps
    ]
    return json.dumps({"spec": json.dumps(payload), "steps": rows}).encode()


def entry_settings(
    name: str,
    ports: list[int],
    store: str,
    machines: str,
    limits: dict[str, int] | None = None,
) -> str:
    """Return the settings file of one entry; ports are front, ready and peer.

    `limits` replaces or adds settings of the table `limits`.
    """
    front, ready, peer = ports
    bounds = {"stopMs": STOP_MS, "holdMaxMs": HOLD_MAX_MS, "leaseMs": 1000}
    bounds |= {"strictRevoke": True, "revokeMs": int(REVOKE_S * 1000)}
    bounds |= {"configApplyMs": int(CONFIG_APPLY_S * 1000)}
    bounds |= {"graceS": 6, "status_s": STATUS_S, "moveS": MOVE_S}
    tables = {
        "listenAddrs": {"front": f"{HOST}:{front}", "readyAddr": f"{HOST}:{ready}"},
        "limits": {"cpuShare": 0.5, "cores": 2, "memoryMb": 300, **(limits or {})},
        "bounds": bounds,
        "platform": {"address": store, "writesPerS": 400, "readsPerS": 2000},
        "cloudApi": {"address": machines, "dutiesPerS": 64.0},
    }
    top = {"nodeName": name, "zone": "z1", "ip": HOST, "portRange": [peer, peer]}
    top["contracts"] = ["tenants"]
    lines = [f"{key} = {json.dumps(value)}" for key, value in top.items()]
    lines.append(f"heartbeatMs = {int(HEARTBEAT_S * 1000)}")
    for table, fields in tables.items():
        lines.append(f"[{table}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in fields.items()]
    return "\n".join(lines) + "\n"
