"""Load TOML files and explain each mistake in them."""

import tomllib
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ValidationError

from jayshunt.errors import JayshuntError
from jayshunt.settings.models import EntrySettings

Model = TypeVar("Model", bound=BaseModel)


class InvalidFile(JayshuntError):
    """Raised for a file with mistakes; the detail has one line for each."""

    def __init__(self, path: Path, problems: list[str]) -> None:
        """Prefix each problem with the path and keep all in `problems`."""
        detail = "\n".join(f"{path}: {problem}" for problem in problems)
        super().__init__("invalid_file", step="settings.load", detail=detail)
        self.problems = tuple(problems)


def load_settings(path: Path) -> EntrySettings:
    """Return the validated settings of a file, or raise InvalidFile."""
    return load_toml(path, EntrySettings)


def load_toml(path: Path, model: type[Model]) -> Model:
    """Return the content of a TOML file as a validated model, or raise InvalidFile."""
    try:
        content = tomllib.loads(path.read_text())
    except OSError as error:
        raise InvalidFile(path, [error.strerror or str(error)]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise InvalidFile(path, [f"not valid TOML: {error}"]) from error
    try:
        return model.model_validate(content)
    except ValidationError as error:
        raise InvalidFile(path, explain_errors(error)) from error


def explain_errors(error: ValidationError) -> list[str]:
    """Return one line per mistake with key, value and what is allowed."""
    return [_explain(item) for item in error.errors()]


def _explain(item: dict) -> str:
    key = ".".join(str(part) for part in item["loc"]) or "file"
    if item["type"] == "extra_forbidden":
        return f"{key}: unknown key"
    if item["type"] == "missing":
        return f"{key}: missing"
    value = item["input"]
    shown = "" if isinstance(value, dict) else f" = {value!r}"
    return f"{key}{shown}: {item['msg']}"
