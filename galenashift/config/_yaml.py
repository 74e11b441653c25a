"""A parser for a subset of YAML that records the line of every value."""

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

import yaml

#: Size limit of a file. The store holds values of up to 1 MB.
MAX_FILE_BYTES = 1_000_000
#: Maximum nesting depth. A configuration has 6 levels.
MAX_DEPTH = 16

#: Keys and list positions from the root to a value.
Path = tuple[str | int, ...]

_NULL = re.compile(r"^(?:|~|null)$")
_BOOLEAN = re.compile(r"^(?:true|false)$")
_INTEGER = re.compile(r"^[-+]?\d{1,18}$")
_FLOAT = re.compile(r"^[-+]?(?:\d+\.\d*|\.\d+|\d+)(?:[eE][-+]?\d+)?$")
_YAML_LOADER: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


@dataclass(frozen=True, kw_only=True)
class Problem:
    """An error in a file, with its location."""

    #: Name of the file.
    file: str
    #: Line number from 1, if known.
    line: int | None
    #: Dotted path of the value; empty for the whole file.
    path: str
    #: What is wrong, in one line.
    reason: str
    #: Column number from 1, if known.
    column: int | None = None

    def __str__(self) -> str:
        """Format the problem as compilers do: ``file:line:column: path: reason``."""
        places = (self.file, self.line, self.column)
        location = ":".join(str(each) for each in places if each is not None)
        return ": ".join(part for part in (location, self.path, self.reason) if part)


@dataclass(frozen=True, kw_only=True)
class InvalidFile:
    """The result of parsing an invalid file; holds at least one problem."""

    #: Problems in order of discovery.
    problems: tuple[Problem, ...]

    def __str__(self) -> str:
        """Format each problem on a line of its own."""
        return "\n".join(str(problem) for problem in self.problems)


@dataclass(frozen=True, kw_only=True)
class YamlDocument:
    """The parsed content of a YAML file."""

    #: Nested mappings, lists and scalars.
    data: Any
    #: Line number of each key or list entry, by path.
    lines_by_path: Mapping[Path, int]
    #: Column number of each of them, from 1.
    columns_by_path: Mapping[Path, int] = field(default_factory=dict)
    #: Keys that appear twice in a mapping, whose last value is kept, with their lines
    #: and columns.
    repeated_keys: tuple[tuple[Path, int, int], ...] = ()

    def find_position(self, path: Path) -> tuple[int, int] | tuple[None, None]:
        """Return line and column of a value, or of its nearest existing ancestor."""
        for length in range(len(path), -1, -1):
            line = self.lines_by_path.get(path[:length])
            if line is not None:
                return line, self.columns_by_path[path[:length]]
        return None, None

    def find_line(self, path: Path) -> int | None:
        """Return the line of a value, or of its nearest existing ancestor."""
        for length in range(len(path), 0, -1):
            line = self.lines_by_path.get(path[:length])
            if line is not None:
                return line
        return None


@dataclass(kw_only=True, eq=False)
class _Marks:
    """Positions of the values that were parsed."""

    lines_by_path: dict[Path, int] = field(default_factory=dict)
    columns_by_path: dict[Path, int] = field(default_factory=dict)
    #: None if a key that appears twice is rejected.
    repeated_keys: list[tuple[Path, int, int]] | None = None

    def add(self, path: Path, mark: Any) -> None:
        """Note where a value begins, or its key; the first call for a path counts."""
        self.lines_by_path.setdefault(path, mark.line + 1)
        self.columns_by_path.setdefault(path, mark.column + 1)


class _RejectedInputError(Exception):
    """Aborts parsing; `read_yaml` converts it to an `InvalidFile`."""

    def __init__(
        self,
        *,
        line: int | None,
        path: Path,
        reason: str,
        column: int | None = None,
    ) -> None:
        super().__init__(reason)
        self.line = line
        self.column = column
        self.path = path
        self.reason = reason


def format_path(path: Path) -> str:
    """Format a path for messages, for example ``pipelines.a.stages[0].pool``."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else str(part)
    return text if text.isprintable() else ascii(text)


def read_yaml(
    *, content: bytes, file: str, keep_repeated_keys: bool = False
) -> YamlDocument | InvalidFile:
    """Parse a YAML file.

    Anchors, aliases and tags are rejected: nested aliases can expand a small file to
    any size, and tags select types. Plain scalars follow the core schema of YAML 1.2,
    in which ``no`` is a string and ``1:30`` is not a number.

    :param content: Bytes of the file.
    :param file: Name of the file, for error messages.
    :param keep_repeated_keys: Whether keys that appear twice in a mapping are listed in
        the document. Otherwise, they are an error.
    """
    marks = _Marks(repeated_keys=[] if keep_repeated_keys else None)
    line: int | None = None
    column: int | None = None
    path = ""
    try:
        return _parse(content, marks)
    except _RejectedInputError as refused:
        line, column, reason = refused.line, refused.column, refused.reason
        path = format_path(refused.path)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        if mark is not None:
            line, column = mark.line + 1, mark.column + 1
        reason = f"not YAML: {error.problem or error.context}"
    except yaml.YAMLError as error:
        reason = f"not YAML: {str(error).splitlines()[0]}"
    problem = Problem(file=file, line=line, column=column, path=path, reason=reason)
    return InvalidFile(problems=(problem,))


def _parse(content: bytes, marks: _Marks) -> YamlDocument:
    if len(content) > MAX_FILE_BYTES:
        reason = f"{len(content)} bytes, more than the limit of {MAX_FILE_BYTES}"
        raise _RejectedInputError(line=None, path=(), reason=reason)
    try:
        text = content.decode("utf-8")
    except UnicodeDecodeError as error:
        line = content[: error.start].count(b"\n") + 1
        reason = f"byte {error.start} is not valid UTF-8"
        raise _RejectedInputError(line=line, path=(), reason=reason) from error
    events: Iterator[Any] = yaml.parse(text, Loader=_YAML_LOADER)
    data: Any = None
    documents = 0
    for event in events:
        if isinstance(event, yaml.DocumentStartEvent):
            documents += 1
            if documents > 1:
                reason = "a second YAML document; a file must have only one"
                raise _rejected(event, (), reason)
        elif isinstance(event, yaml.NodeEvent):
            data = _parse_node(event, events, (), marks)
    return YamlDocument(
        data=data,
        lines_by_path=marks.lines_by_path,
        columns_by_path=marks.columns_by_path,
        repeated_keys=tuple(marks.repeated_keys or ()),
    )


def _rejected(event: Any, path: Path, reason: str) -> _RejectedInputError:
    mark = event.start_mark
    return _RejectedInputError(
        line=mark.line + 1, column=mark.column + 1, path=path, reason=reason
    )


def _parse_node(event: Any, events: Iterator[Any], path: Path, marks: _Marks) -> Any:
    marks.add(path, event.start_mark)

    def refuse(reason: str) -> _RejectedInputError:
        return _rejected(event, path, reason)

    if event.anchor is not None:
        raise refuse("anchors and aliases are not accepted; repeat the value")
    if event.tag is not None and event.tag != "!":
        raise refuse(f"the tag {event.tag!r} is not accepted")
    if isinstance(event, yaml.ScalarEvent):
        return _parse_scalar(event, refuse)
    if len(path) >= MAX_DEPTH:
        raise refuse(f"nested deeper than {MAX_DEPTH} levels")
    if isinstance(event, yaml.SequenceStartEvent):
        items: list[Any] = []
        for child in events:
            if isinstance(child, yaml.SequenceEndEvent):
                break
            items.append(_parse_node(child, events, (*path, len(items)), marks))
        return items
    mapping: dict[str, Any] = {}
    for child in events:
        if isinstance(child, yaml.MappingEndEvent):
            break
        key = child.value if isinstance(child, yaml.ScalarEvent) else None
        if key is None or child.anchor is not None or child.tag is not None:
            reason = "a key must be plain text"
            raise _rejected(child, path, reason)
        if _has_forbidden_character(key):
            reason = "a key contains a control character"
            raise _rejected(child, path, reason)
        if key in mapping:
            if marks.repeated_keys is None:
                reason = "this key appears twice"
                raise _rejected(child, (*path, key), reason)
            mark = child.start_mark
            marks.repeated_keys.append(((*path, key), mark.line + 1, mark.column + 1))
        marks.add((*path, key), child.start_mark)
        mapping[key] = _parse_node(next(events), events, (*path, key), marks)
    return mapping


def _parse_scalar(event: Any, refuse: Any) -> Any:
    text: str = event.value
    if _has_forbidden_character(text):
        raise refuse("the text contains a control character")
    if not event.implicit[0]:
        return text
    if _NULL.match(text):
        return None
    if _BOOLEAN.match(text):
        return text == "true"
    if _INTEGER.match(text):
        return int(text)
    if _FLOAT.match(text):
        return float(text)
    return text


def _has_forbidden_character(text: str) -> bool:
    return any(
        (ch < " " and ch not in "\n\t") or "\ud800" <= ch < "\ue000" for ch in text
    )
