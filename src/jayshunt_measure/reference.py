"""Generate docs/reference.md from the code."""

import ast
from collections.abc import Iterator
from enum import Enum
from pathlib import Path
from typing import get_args, get_origin

import typer.main
from pydantic import BaseModel
from pydantic_core import PydanticUndefined

import jayshunt
from jayshunt.cli.const import EXIT_CODE_HELP
from jayshunt.cli.main import app
from jayshunt.clock import SystemClock
from jayshunt.config.models import ConfigDocument
from jayshunt.error_help import ERROR_HELP
from jayshunt.interference.control import InterferenceControl
from jayshunt.interference.diagnostics import metrics as interference_metrics
from jayshunt.operations.class_statistics import ClassStatistics
from jayshunt.operations.metrics import EntryMetrics
from jayshunt.reports import entry_metrics
from jayshunt.serving.const import DEFAULT_STATUS, STATUS_OF_CODE
from jayshunt.settings.models import EntrySettings
from jayshunt_measure.platform_limits import platform_limit_rows

PACKAGE = Path(jayshunt.__file__).parent
REFERENCE = PACKAGE.parent.parent / "docs" / "reference.md"
# Functions whose first argument is an error code.
RAISERS = frozenset({"JayshuntError", "request_error", "PermitRefused", "StoreError"})


def main() -> None:
    """Write the reference file."""
    REFERENCE.write_text(render())
    typer.echo(f"wrote {REFERENCE.name}")


def render() -> str:
    """Return the reference as Markdown."""
    lines = [
        "# Reference",
        "",
        "Generated from the code by `script/reference`; do not edit it by hand.",
        "",
        *_section("Settings", _model_rows(EntrySettings), MODEL_COLUMNS),
        *_section("Limits on the platform", platform_limit_rows(), LIMIT_COLUMNS),
        *_section("Configuration", _model_rows(ConfigDocument), MODEL_COLUMNS),
        *_section("Commands", _command_rows(), ("command", "arguments", "meaning")),
        *_section("Exit codes", _exit_rows(), ("code", "name", "meaning")),
        *_section("Error codes", _error_rows(), ("code", "HTTP status", "meaning")),
        *_section("Metrics", _metric_rows(), ("metric", "type", "labels", "meaning")),
    ]
    return "\n".join(lines).rstrip() + "\n"


LIMIT_COLUMNS = ("limit", "with 128 MB", "with 300 MB", "derived from")
MODEL_COLUMNS = ("key", "type", "default", "allowed")


def _section(title: str, rows: Iterator[tuple], columns: tuple) -> list[str]:
    table = [columns, ("---",) * len(columns), *rows]
    cells = ["| " + " | ".join(_escape(c) for c in row) + " |" for row in table]
    return [f"## {title}", "", *cells, ""]


def _escape(cell: object) -> str:
    return str(cell).replace("|", "\\|").replace("\n", " ")


def _model_rows(model: type[BaseModel], prefix: str = "") -> Iterator[tuple]:
    for name, field in model.model_fields.items():
        key = f"{prefix}{name}"
        nested, is_map = _nested_model(field.annotation)
        if nested is not None:
            yield from _model_rows(nested, f"{key}.<name>." if is_map else f"{key}.")
            continue
        default = field.get_default(call_default_factory=True)
        if isinstance(default, Enum):
            default = default.value
        formatted = "required" if default is PydanticUndefined else f"`{default}`"
        if default is None:
            formatted = "none"
        allowed = ", ".join(
            _format_constraint(constraint) for constraint in field.metadata
        )
        allowed = allowed or _enum_values(field.annotation)
        yield f"`{key}`", _type_name(field.annotation), formatted, allowed


def _nested_model(annotation: object) -> tuple[type[BaseModel] | None, bool]:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation, False
    arguments = get_args(annotation)
    if get_origin(annotation) is dict:
        return _nested_model(arguments[1])[0], True
    if arguments and get_origin(annotation) is not tuple:
        for argument in arguments:
            nested, is_map = _nested_model(argument)
            if nested is not None:
                return nested, is_map
    return None, False


def _format_constraint(constraint: object) -> str:
    for name, text in (("ge", "at least"), ("gt", "above"), ("le", "at most")):
        value = getattr(constraint, name, None)
        if value is not None:
            return f"{text} {value}"
    if pattern := getattr(constraint, "pattern", None):
        return f"pattern `{pattern}`"
    if function := getattr(constraint, "func", None):
        return function.__name__.removeprefix("_check_").replace("_", " ")
    return str(constraint)


def _enum_values(annotation: object) -> str:
    if isinstance(annotation, type) and issubclass(annotation, Enum):
        return ", ".join(f"`{item.value}`" for item in annotation)
    values = [a for a in get_args(annotation) if isinstance(a, str)]
    return ", ".join(f"`{value}`" for value in values)


def _type_name(annotation: object) -> str:
    if isinstance(annotation, type) and issubclass(annotation, Enum):
        return "text"
    if isinstance(annotation, type) and not get_args(annotation):
        return {"str": "text", "Path": "file"}.get(
            annotation.__name__, annotation.__name__
        )
    names = [_type_name(a) for a in get_args(annotation) if a is not type(None)]
    known = [name for name in names if not name.startswith(("Ellipsis", "<"))]
    if get_origin(annotation) is tuple:
        return "list of text"
    if any(isinstance(a, str) for a in get_args(annotation)):
        return "text"
    return " or ".join(dict.fromkeys(known)) or "text"


def _command_rows() -> Iterator[tuple]:
    command = typer.main.get_command(app)
    for name, item in sorted(command.commands.items()):
        formatted = []
        for parameter in item.params:
            if parameter.name == "help":
                continue
            text = " or ".join(parameter.opts)
            if parameter.param_type_name == "argument":
                text = (parameter.metavar or parameter.name).upper()
            formatted.append(f"`{text}`" if parameter.required else f"[`{text}`]")
        yield f"`{name}`", " ".join(formatted), (item.help or "").split("\n")[0]


def _exit_rows() -> Iterator[tuple]:
    for code, text in EXIT_CODE_HELP.items():
        yield code.value, code.name.lower(), text


def _error_rows() -> Iterator[tuple]:
    for code in sorted({*error_codes(), *STATUS_OF_CODE}):
        status = STATUS_OF_CODE.get(code, DEFAULT_STATUS)
        yield f"`{code}`", status, ERROR_HELP.get(code, "")


def error_codes() -> set[str]:
    """Return the error codes that the product's code raises."""
    found: set[str] = set()
    for file in PACKAGE.rglob("*.py"):
        if "tests" in file.parts or "protocol" in file.parts:
            continue
        for node in ast.walk(ast.parse(file.read_text())):
            if isinstance(node, ast.Call) and _is_raiser(node.func) and node.args:
                found.update(_literal_texts(node.args[0]))
    return found


def _is_raiser(function: ast.expr) -> bool:
    if isinstance(function, ast.Name):
        return function.id in RAISERS
    return (
        isinstance(function, ast.Attribute)
        and function.attr == "__init__"
        and isinstance(function.value, ast.Call)
    )


def _literal_texts(node: ast.expr) -> Iterator[str]:
    match node:
        case ast.Constant(value=str(text)) if text.islower() and " " not in text:
            yield text
        case ast.IfExp(body=body, orelse=other):
            yield from _literal_texts(body)
            yield from _literal_texts(other)


def _metric_rows() -> Iterator[tuple]:
    metrics = EntryMetrics(ClassStatistics(SystemClock()))
    # The value functions of the metrics are not called here, so None is enough.
    for metric in entry_metrics(None):
        metrics.add(metric)
    rows = [*metrics.describe_metrics(), *_interference_rows()]
    for name, kind, labels, text in sorted(rows):
        yield f"`{name}`", kind, labels, text


def _interference_rows() -> Iterator[tuple]:
    for family in interference_metrics(InterferenceControl(), {}):
        labels = sorted({label for row in family.samples for label in row.labels})
        name = family.samples[0].name
        yield name, family.type, ", ".join(labels), family.documentation


if __name__ == "__main__":
    main()
