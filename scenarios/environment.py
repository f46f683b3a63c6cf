"""Define the hooks that behave calls around scenarios."""


def after_scenario(context, _scenario) -> None:
    """Stop the entries and stand-ins that the scenario started."""
    testbed = getattr(context, "testbed", None)
    if testbed is not None:
        testbed.stop()
