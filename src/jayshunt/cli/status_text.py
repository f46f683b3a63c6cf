"""Format the status of the deployment as text."""

from collections.abc import Iterator


def status_lines(status: dict) -> Iterator[str]:
    """Yield the lines of the status, with problems in capitals."""
    yield (
        f"configuration {status['config_version']}, store {status['store']}, "
        f"{len(status['processes'])} processes"
    )
    for entry, problem in sorted(status["missing"].items()):
        yield f"NO ANSWER from {entry}: {problem}"
    yield from _class_lines(status["classes"])
    yield from _job_class_lines(status["job_classes"])
    yield from _pool_lines(status["pools"])
    yield from _wave_lines(status)
    yield from _process_lines(status)


def _class_lines(classes: list[dict]) -> Iterator[str]:
    if not classes:
        return
    yield ""
    yield f"{'class':<24}{'target ms':>10}{'p99 ms':>10}{'met':>16}  verdict"
    for item in classes:
        verdict = "met" if item["is_met"] else f"MISSED, {item['reason']}"
        met = f"{item['met']}/{item['requests']}"
        yield (
            f"{item['work_class']:<24}{item['target_ms']:>10}{item['p99_ms']:>10.1f}"
            f"{met:>16}  {verdict}"
        )


def _job_class_lines(classes: list[dict]) -> Iterator[str]:
    if not classes:
        return
    yield ""
    yield (
        f"{'job class':<24}{'zone':<12}{'target s':>9}{'oldest s':>9}"
        f"{'waiting':>9}{'running':>9}  verdict"
    )
    for item in classes:
        reasons = "; ".join(f"{n} because {r}" for r, n in item["reasons"].items())
        verdict = "met" if item["is_met"] else f"MISSED, {reasons}"
        yield (
            f"{item['work_class']:<24}{item['zone']:<12}{item['max_wait_s']:>9g}"
            f"{item['oldest_wait_s']:>9g}{item['waiting']:>9}{item['running']:>9}"
            f"  {verdict}"
        )


def _pool_lines(pools: list[dict]) -> Iterator[str]:
    if not pools:
        return
    yield ""
    yield f"{'pool':<20}{'zone':<12}{'budget':>7}  VMs"
    for item in pools:
        counts = ", ".join(f"{n} {state}" for state, n in sorted(item["vms"].items()))
        reasons = "; ".join(f"{n} because {r}" for r, n in item["reasons"].items())
        kind = " (spare)" if item["spare"] else ""
        name = f"{item['pool']}{kind}"
        line = f"{name:<20}{item['zone']:<12}{item['min_available_ratio']:>7.0%}  "
        yield line + (counts or "none") + (f"  [{reasons}]" if reasons else "")


def _wave_lines(status: dict) -> Iterator[str]:
    waves = status["waves"]
    if status["planned_stops"] or waves:
        yield ""
    for name, planned in sorted(status["planned_stops"].items()):
        reason = f" ({planned['reason']})" if planned.get("reason") else ""
        yield f"planned stop {name}: {planned['scope']} {planned['target']}{reason}"
    for wave in waves:
        late = f"  LATE, {wave['remedy']}" if wave["late"] else ""
        reason = f", {wave['reason']}" if wave["reason"] else ""
        yield (
            f"wave {wave['wave']} in {wave['zone']}: {wave['state']}, "
            f"{wave['done']} done, {wave['down']} down, "
            f"{wave['remaining']} remaining{reason}{late}"
        )


def _process_lines(status: dict) -> Iterator[str]:
    yield ""
    yield f"{'process':<20}{'zone':<12}{'version':<10}{'config':>7}  state"
    for item in status["processes"]:
        if "zone" not in item:
            yield f"{item['entry']:<20}NOT READABLE: {item.get('error', '')}"
            continue
        parts = ["ready" if item["ready"] else "NOT READY"]
        if item["config_version"] != status["config_version"]:
            parts.append("OTHER CONFIGURATION")
        if item["store"] != "up":
            parts.append(f"STORE {item['store'].upper()}")
        if item["draining"]:
            parts.append("draining")
        if item["is_controller"]:
            parts.append("zone controller")
        yield (
            f"{item['entry']:<20}{item['zone']:<12}{item['program_version']:<10}"
            f"{item['config_version']:>7}  {', '.join(parts)}"
        )
