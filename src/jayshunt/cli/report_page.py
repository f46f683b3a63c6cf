"""Draw the report as one HTML file without external parts."""

import html
from datetime import UTC, datetime

import pygal
from pygal.config import Config

_PAGE = """<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>jayshunt report</title>
<style>body{{font-family:sans-serif;max-width:70em;margin:2em auto}}
svg{{width:100%;height:24em}}td,th{{text-align:left;padding:0 1em 0 0}}</style>
</head><body><h1>jayshunt report</h1>
<p>Samples of one entry and its zone, {count} in all, every {interval_s:g} s.
Buffer in all: {core_hours:.2f} core-hours.</p>
{plots}<h2>Moves</h2><table><tr><th>time</th><th>VM</th><th>from</th><th>to</th>
<th>reason</th></tr>{moves}</table></body></html>
"""


def report_page(content: dict) -> str:
    """Return the page for the samples of an entry."""
    buffer = content["buffer"]
    plots = [
        _plot("Buffer", "cores", [(s["at_s"], s["cores"]) for s in buffer]),
        _plot(
            "Roll-out time by version",
            "seconds from accept to in force here",
            [(r["accepted_s"], r["took_s"]) for r in content["roll_outs"]],
        ),
        _plot(
            "Moves",
            "VMs moved so far",
            [(m["at_s"], n) for n, m in enumerate(content["moves"], 1)],
        ),
    ]
    core_s = sum(s["cores"] for s in buffer) * content["interval_s"]
    return _PAGE.format(
        count=len(buffer),
        interval_s=content["interval_s"],
        core_hours=core_s / 3600,
        plots="\n".join(plots),
        moves="".join(_move_row(move) for move in content["moves"]),
    )


def _plot(title: str, unit: str, points: list[tuple[float, float]]) -> str:
    # Without scripts the file needs nothing from elsewhere.
    config = Config(
        js=[],
        title=title,
        y_title=unit,
        show_legend=False,
        disable_xml_declaration=True,
        x_label_rotation=20,
        no_data_text="no samples",
    )
    chart = pygal.DateTimeLine(config)
    chart.x_value_formatter = lambda time: f"{time:%m-%d %H:%M:%S}"
    chart.add(unit, [(datetime.fromtimestamp(s, UTC), value) for s, value in points])
    return chart.render(is_unicode=True)


def _move_row(move: dict) -> str:
    time = datetime.fromtimestamp(move["at_s"], UTC)
    cells = (f"{time:%Y-%m-%d %H:%M:%S}", *(move[k] for k in MOVE_KEYS))
    return "<tr>" + "".join(f"<td>{html.escape(c)}</td>" for c in cells) + "</tr>"


MOVE_KEYS = ("vm", "before", "after", "reason")
