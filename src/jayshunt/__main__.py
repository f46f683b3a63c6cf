"""Run the jayshunt command line."""

from jayshunt.cli.main import main

main()
