"""Render the report as one HTML file without external resources."""

import html
from datetime import UTC, datetime

import pygal
from pygal.config import Config

# Unix time in seconds and value.
Point = tuple[float, float]
# Columns of the table of moves after the time.
MOVE_KEYS = ("vm", "before", "after", "reason")
_PAGE = """<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>jayshunt report</title>
<style>body{{font-family:sans-serif;max-width:70em;margin:2em auto}}
svg{{width:100%;height:24em}}td,th{{text-align:left;padding:0 1em 0 0}}</style>
</head><body><h1>jayshunt report</h1>
<p>Samples of {entries} entries in {zones} zones. Buffer in all:
{core_hours:.2f} core-hours. {missing}</p>
{plots}<h2>Moves</h2><table><tr><th>time</th><th>VM</th><th>from</th><th>to</th>
<th>reason</th></tr>{moves}</table></body></html>
"""


def report_page(content: dict) -> str:
    """Return the HTML page for a deployment's samples."""
    zones = content["zones"]
    moves = sorted(
        (move for zone in zones.values() for move in zone["moves"]),
        key=lambda move: move["at_s"],
    )
    buffer = {
        name: [(s["at_s"], s["cores"]) for s in zone["buffer"]]
        for name, zone in sorted(zones.items())
    }
    roll_outs: dict[str, list[Point]] = {}
    for item in content["roll_outs"]:
        points = roll_outs.setdefault(item["entry"], [])
        points.append((item["accepted_s"], item["took_s"]))
    plots = [
        _plot("Buffer", "cores", buffer),
        _plot("Roll-out time", "seconds from accept to in force", roll_outs),
        _plot(
            "Moves",
            "VMs moved so far",
            {"all zones": [(move["at_s"], n) for n, move in enumerate(moves, 1)]},
        ),
    ]
    core_s = sum(
        sum(cores for _, cores in buffer[name]) * zone["interval_s"]
        for name, zone in zones.items()
    )
    missing = ", ".join(sorted(content["missing"]))
    return _PAGE.format(
        entries=content["entries"],
        zones=len(zones),
        core_hours=core_s / 3600,
        missing=html.escape(f"No answer from {missing}." if missing else ""),
        plots="\n".join(plots),
        moves="".join(_move_row(move) for move in moves),
    )


def _plot(title: str, unit: str, lines: dict[str, list[Point]]) -> str:
    # By default pygal links scripts from another host; the file must not need any.
    config = Config(
        js=[],
        title=title,
        y_title=unit,
        show_legend=len(lines) > 1,
        disable_xml_declaration=True,
        x_label_rotation=20,
        no_data_text="no samples",
    )
    chart = pygal.DateTimeLine(config)
    chart.x_value_formatter = lambda time: f"{time:%m-%d %H:%M:%S}"
    for name, points in lines.items():
        chart.add(
            name, [(datetime.fromtimestamp(s, UTC), value) for s, value in points]
        )
    return chart.render(is_unicode=True)


def _move_row(move: dict) -> str:
    time = datetime.fromtimestamp(move["at_s"], UTC)
    cells = (f"{time:%Y-%m-%d %H:%M:%S}", *(move[k] for k in MOVE_KEYS))
    return "<tr>" + "".join(f"<td>{html.escape(c)}</td>" for c in cells) + "</tr>"
