"""Reads the files that the configuration check compares with each other."""

import json
from collections.abc import Mapping
from pathlib import Path

from galenashift.config import (
    InvalidFile,
    Problem,
    YamlDocument,
    read_file,
    read_yaml,
)
from galenashift.model import InstanceState, RoutingConfig, ServiceName
from galenashift.platform import (
    Bounds,
    RecordError,
    SettingsError,
    decode_config,
    decode_upstream,
    load_settings,
)


class UnusableFileError(Exception):
    """A file cannot be read or decoded."""

    def __init__(self, invalid: InvalidFile) -> None:
        super().__init__(str(invalid))
        self.invalid = invalid


def read_document(file: str) -> YamlDocument:
    """Read a YAML or JSON file; keys that appear twice are listed in the result.

    :raises UnusableFileError: If it cannot be read, or is not YAML with a mapping.
    """
    document = read_yaml(
        content=_read_content(file), file=file, keep_repeated_keys=True
    )
    if isinstance(document, InvalidFile):
        raise UnusableFileError(document)
    if not isinstance(document.data, Mapping):
        problem = _problem(file, "the file must be a mapping at the top level")
        raise UnusableFileError(InvalidFile(problems=(problem,)))
    return document


def decode_document(file: str, document: YamlDocument) -> RoutingConfig | InvalidFile:
    """Decode a configuration as a daemon does."""
    try:
        return decode_config(json.dumps(document.data).encode())
    except RecordError as error:
        return InvalidFile(problems=(_problem(file, str(error)),))


def decode_usable(file: str) -> RoutingConfig:
    """Read a configuration that daemons accept.

    :raises UnusableFileError: If it cannot be read or decoded.
    """
    config = decode_document(file, read_document(file))
    if isinstance(config, InvalidFile):
        raise UnusableFileError(config)
    return config


def read_bounds(file: str) -> Bounds:
    """Read the platform's bounds from the settings of a daemon.

    :raises UnusableFileError: If the settings are unusable.
    """
    # Reports a file that cannot be read or is too large as for the other files; the
    # loader has no size limit.
    _read_content(file)
    try:
        # The variables of this shell are not those of the daemon, and change no bounds.
        return load_settings(Path(file), environment={}).bounds
    except SettingsError as error:
        problem = _problem(file, str(error).replace(f"{file}: ", "", 1))
        raise UnusableFileError(InvalidFile(problems=(problem,))) from error


def read_ready_services(file: str) -> frozenset[ServiceName]:
    """Read registrations, and return the services with a ready upstream.

    :raises UnusableFileError: If the file or one of its records is unusable.
    """
    document = read_document(file)
    ready = set()
    problems = []
    for key, record in document.data.items():
        try:
            upstream = decode_upstream(key=key, value=json.dumps(record).encode())
        except RecordError as error:
            line, column = document.find_position((key,))
            problems.append(_problem(file, str(error), line=line, column=column))
            continue
        if upstream.state is InstanceState.READY:
            ready.add(upstream.service)
    if problems:
        raise UnusableFileError(InvalidFile(problems=tuple(problems)))
    return frozenset(ready)


def _read_content(file: str) -> bytes:
    content = read_file(file)
    if isinstance(content, InvalidFile):
        raise UnusableFileError(content)
    return content


def _problem(
    file: str, reason: str, *, line: int | None = None, column: int | None = None
) -> Problem:
    return Problem(file=file, line=line, column=column, path="", reason=reason)
