"""Run the stand-ins of a whole platform as one TOML file describes them."""

import json
import signal
import sys
import threading
import tomllib
from pathlib import Path
from typing import Annotated

import typer

from jayshunt_standins.inventory import InventoryStandIn, ListedVm
from jayshunt_standins.store import StoreStandIn
from jayshunt_standins.upstream import UpstreamStandIn
from jayshunt_standins.worker import WorkerStandIn

app = typer.Typer(
    add_completion=False,
    pretty_exceptions_enable=False,
    help="Run stand-ins for tests on loopback.",
)


@app.command()
def run(plan: Annotated[Path, typer.Argument(help="TOML file with the VMs.")]) -> None:
    """Start the store, the VM list, upstreams and workers, and print addresses.

    The plan has `lag_s`, `store_port` and a list `vms`, each with id, zone, rack, kind
    (upstream or worker), slots and initial_pool.
    """
    content = tomllib.loads(plan.read_text())
    store = StoreStandIn(content.get("store_port", 0))
    servers = [store]
    vms = []
    for vm in content["vms"]:
        slots = vm.pop("slots", 8)
        server = (
            UpstreamStandIn(vm["id"], slots)
            if vm["kind"] == "upstream"
            else WorkerStandIn(vm["id"])
        )
        servers.append(server)
        vms.append(ListedVm(address=server.address, **vm))
    inventory = InventoryStandIn(vms, content.get("lag_s", 5.0))
    servers.append(inventory)
    for server in servers:
        server.start()
    addresses = {
        "store": store.url,
        "inventory": inventory.url,
        "vms": {vm.id: vm.address for vm in vms},
    }
    print(json.dumps(addresses), flush=True)
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    stopped.wait()
    for server in servers:
        server.stop()


def main() -> None:
    """Run the command line."""
    sys.exit(app())
