"""Parsing of YAML files and JSON objects into validated models."""

import re
from collections.abc import Mapping
from pathlib import Path as FilePath
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError

from galenashift.model import Failure, Reason, not_run

from ._schema import Configuration
from ._yaml import (
    MAX_FILE_BYTES,
    InvalidFile,
    Path,
    Problem,
    YamlDocument,
    format_path,
    read_yaml,
)

_Model = TypeVar("_Model", bound=BaseModel)
_PATH_PREFIX = re.compile(r"^([a-z_]+(?:\.[a-z0-9-]+)*): (.+)$", re.DOTALL)
_MAX_REASON_CHARACTERS = 300


def load_configuration(file: str) -> Configuration | InvalidFile:
    """Read the configuration from a YAML file.

    :param file: Path of the file.
    """
    content = read_file(file)
    if isinstance(content, InvalidFile):
        return content
    return parse_configuration(content=content, file=file)


def parse_configuration(*, content: bytes, file: str) -> Configuration | InvalidFile:
    """Parse the configuration from YAML text.

    :param content: Bytes of the file.
    :param file: Name of the file, for error messages.
    """
    return parse_model(content=content, file=file, model=Configuration)


def check_configuration(data: object) -> Configuration | Failure:
    """Validate a decoded JSON document, such as the body of an operator's request.

    :param data: Any decoded JSON value.
    """
    document = YamlDocument(data=data, lines_by_path={})
    result = _validate(document, file="document", model=Configuration)
    return invalid_as_failure(result) if isinstance(result, InvalidFile) else result


def invalid_as_failure(invalid: InvalidFile) -> Failure:
    """Convert the problems of a document to the failure that an operator receives."""
    detail = "; ".join(str(problem) for problem in invalid.problems)
    return not_run(reason=Reason.INVALID_CONFIGURATION, detail=detail)


def read_file(file: str) -> bytes | InvalidFile:
    """Read a file, up to the size limit.

    :param file: Path of the file.
    """
    try:
        with FilePath(file).open("rb") as stream:
            content = stream.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        return _single_problem(file=file, reason=f"cannot be read: {reason}")
    if len(content) > MAX_FILE_BYTES:
        reason = f"larger than the limit of {MAX_FILE_BYTES} bytes"
        return _single_problem(file=file, reason=reason)
    return content


def parse_model(
    *, content: bytes, file: str, model: type[_Model]
) -> _Model | InvalidFile:
    """Parse YAML text and validate it with a model.

    :param content: Bytes of the file.
    :param file: Name of the file, for error messages.
    :param model: Pydantic model of the root mapping.
    """
    document = read_yaml(content=content, file=file)
    if isinstance(document, InvalidFile):
        return document
    return _validate(document, file=file, model=model)


def _validate(
    document: YamlDocument, *, file: str, model: type[_Model]
) -> _Model | InvalidFile:
    if not isinstance(document.data, Mapping):
        return _single_problem(
            file=file, reason="the file must be a mapping at the top level"
        )
    try:
        return model.model_validate(document.data)
    except ValidationError as error:
        # Input values are left out of the messages because they may be secrets.
        faults = error.errors(include_url=False, include_input=False)
        return InvalidFile(
            problems=tuple(_to_problem(each, document, file=file) for each in faults)
        )
    except RecursionError:
        return _single_problem(file=file, reason="nested too deeply")


def _single_problem(*, file: str, reason: str) -> InvalidFile:
    problem = Problem(file=file, line=None, path="", reason=reason)
    return InvalidFile(problems=(problem,))


def _to_problem(error: Any, document: YamlDocument, *, file: str) -> Problem:
    # pydantic appends "[key]" to the location of an invalid mapping key.
    path: Path = tuple(part for part in error["loc"] if part != "[key]")
    match error["type"]:
        case "extra_forbidden":
            reason = "unknown key"
        case "missing":
            reason = "this key is missing"
        case "string_pattern_mismatch" if "a-z0-9-" in error["ctx"]["pattern"]:
            reason = (
                "must be a name: 1 to 63 lower-case letters, digits or hyphens, "
                "a letter first"
            )
        case _:
            reason = str(error["msg"]).removeprefix("Value error, ")
    found = _PATH_PREFIX.match(reason)
    if not path and found:
        path, reason = tuple(found[1].split(".")), found[2]
    return Problem(
        file=file,
        line=document.find_line(path),
        path=format_path(path),
        reason=" ".join(reason.split())[:_MAX_REASON_CHARACTERS],
    )
