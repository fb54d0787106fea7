"""Settings files: JSON with comments, validated by a pydantic model."""

from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

__all__ = ["load_settings"]

M = TypeVar("M", bound=BaseModel)


def load_settings(path: Path, model: type[M]) -> Result[M, list[str]]:
    """
    Read a settings file.

    Returns
    -------
    Result
        The settings, or one line for every fault that starts with its path.
    """
    # Parsing JSON with comments is needed once at the start of a process.
    import json5

    try:
        content = json5.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        return Err([f"{path}: {error.strerror}"])
    except (ValueError, RecursionError) as error:
        return Err([f"{path}: {str(error).splitlines()[0]}"])
    try:
        return Ok(model.model_validate(content))
    except ValidationError as error:
        return Err([_fault(item["loc"], item["msg"]) for item in error.errors()])


def _fault(location: tuple[int | str, ...], message: str) -> str:
    return f"{'.'.join(str(part) for part in location) or 'settings'}: {message}"
