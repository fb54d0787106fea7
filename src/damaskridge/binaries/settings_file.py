"""Reading of settings files: JSON5, validated by pydantic models."""

from pathlib import Path
from typing import TypeVar

import json5
from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

__all__ = ["load_settings"]

M = TypeVar("M", bound=BaseModel)


def load_settings(path: Path, model: type[M]) -> Result[M, list[str]]:
    """
    Return the settings in a file, or all its faults as ``<setting>: <reason>``.

    Parameters
    ----------
    path : Path
        Path of the settings file.
    model : type
        Pydantic model of the settings.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        return Err([f"{path}: {error.strerror}"])
    except UnicodeDecodeError:
        return Err([f"{path}: not UTF-8"])
    try:
        content = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        return Err([f"{path}: {_one_line(error)}"])
    try:
        return Ok(model.model_validate(content))
    except ValidationError as error:
        return Err([_format_fault(item["loc"], item["msg"]) for item in error.errors()])


def _format_fault(location: tuple[int | str, ...], reason: str) -> str:
    path = ".".join(map(str, location)) or "settings"
    return f"{path}: {_one_line(reason)}"


def _one_line(text: object) -> str:
    return " ".join(str(text).split())
