"""Reads bundle files: JSON with comments, validated as a whole.

Schema faults (wrong types, missing or unknown fields) are all reported first. The
checks across fields run only on a file without schema faults.
"""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any, get_args, get_origin

import json5
import msgspec
from pydantic import BaseModel, ConfigDict, Field, ValidationError, create_model
from result import Err, Ok, Result

from damaskridge.core.state.bundle_checks import bundle_faults
from damaskridge.model.bundle import Bundle

__all__ = ["format_bundle", "parse_bundle", "read_bundle"]


def _validation_model(struct: type[msgspec.Struct]) -> type[BaseModel]:
    """Return a strict pydantic model with the fields of a struct."""
    fields: dict[str, Any] = {}
    for field in msgspec.structs.fields(struct):
        required = field.default is msgspec.NODEFAULT
        default = ... if required else field.default
        fields[field.name] = (_validation_type(field.type), Field(default))
    return create_model(
        struct.__name__,
        __config__=ConfigDict(extra="forbid", strict=True, allow_inf_nan=False),
        **fields,
    )


def _validation_type(field_type: Any) -> Any:
    if get_origin(field_type) is tuple:
        return tuple[_validation_model(get_args(field_type)[0]), ...]  # type: ignore[misc]
    return field_type


_BundleModel = _validation_model(Bundle)


def read_bundle(path: Path) -> Result[Bundle, list[str]]:
    """Return the bundle in a file, or all its faults as ``path: message``."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([f"{path}: {error}"])
    return parse_bundle(text)


def parse_bundle(text: str) -> Result[Bundle, list[str]]:
    """Return the bundle in a JSON text, or all its faults."""
    try:
        content = _parse_json(text)
        model = _BundleModel.model_validate_json(json.dumps(content))
    except ValidationError as error:
        return Err([_format_fault(item["loc"], item["msg"]) for item in error.errors()])
    except (ValueError, RecursionError) as error:
        return Err([f"not JSON with comments: {str(error).splitlines()[0]}"])
    bundle = msgspec.convert(model.model_dump(), Bundle)
    faults = bundle_faults(bundle)
    return Err(faults) if faults else Ok(bundle)


def format_bundle(bundle: Bundle) -> str:
    """Return a bundle as the text of a bundle file."""
    return msgspec.json.format(msgspec.json.encode(bundle), indent=2).decode() + "\n"


def _parse_json(text: str) -> Any:
    try:
        # Plain JSON first: json5 is written in Python and takes seconds for a bundle
        # of some thousand servers.
        return json.loads(text)
    except ValueError:
        return json5.loads(text)


def _format_fault(location: Iterable[int | str], message: str) -> str:
    path = ""
    for part in location:
        if isinstance(part, int):
            path += f"[{part}]"
        else:
            path += f".{part}" if path else part
    return f"{path or 'bundle'}: {message[:1].lower()}{message[1:]}"
