"""Define the steps for configuration while the store is down."""

import time

from behave import then, when

from jayshunt_standins.store import StoreFaults

IN_FORCE_LIMIT_S = 10.0


@when("the store goes down")
def stop_store(context) -> None:
    """Make the store drop the connection of every call."""
    context.testbed.store.faults = StoreFaults(down=True)


@when("entry {number:d} is stopped and started again")
def restart_entry(context, number: int) -> None:
    """Restart one entry; the new process has no state of the old one."""
    entry = context.testbed.entries[number - 1]
    context.testbed.stop_entry(entry)
    context.testbed.start_entry(entry)


@then("entry {number:d} has version {version:d} in force")
def check_version(context, number: int, version: int) -> None:
    """Wait until an entry reports the version, or fail."""
    entry = context.testbed.entries[number - 1]
    end_s = time.monotonic() + IN_FORCE_LIMIT_S
    found = None
    while found != version and time.monotonic() < end_s:
        found = context.testbed.operator_call(entry, "GET", "config")["version"]
    assert found == version, found
