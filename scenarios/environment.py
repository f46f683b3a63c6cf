"""Start and stop the stand-ins of each scenario."""


def after_scenario(context, _scenario) -> None:
    """Stop what the scenario started."""
    testbed = getattr(context, "testbed", None)
    if testbed is not None:
        testbed.stop()
