"""Define the command line of the measurements."""

import typer

from jayshunt_measure.capacity import capacity
from jayshunt_measure.demo import demo
from jayshunt_measure.fleet import fleet
from jayshunt_measure.job_writes import job_writes
from jayshunt_measure.rollout import rollout
from jayshunt_measure.serving import serving
from jayshunt_measure.smoke import smoke

app = typer.Typer(
    add_completion=False, pretty_exceptions_enable=False, no_args_is_help=True
)
app.command()(capacity)
app.command()(demo)
app.command()(fleet)
app.command()(rollout)
app.command("jobs")(job_writes)
app.command()(serving)
app.command()(smoke)

if __name__ == "__main__":
    app()
