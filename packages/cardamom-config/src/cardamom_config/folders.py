"""Reads a folder of configuration files, merged in the order of their names.

All findings are reported together, each with its file and line and with how
to correct it.
"""

import contextlib
import dataclasses
import gc
import json
import pathlib
import re
import tomllib
import typing

import pydantic
import yaml

from cardamom_config import crosschecks
from cardamom_config import findings
from cardamom_config import plausibility
from cardamom_config import schema

SUFFIXES = (".yaml", ".yml", ".toml")

# A field is at most the third level.  Deeper mappings are not read, since
# aliases could make them endless.
MAX_DEPTH = 4

# libyaml reads 4,000 routes in a tenth of the time; it is not part of every
# build of PyYAML.
LOADER: typing.Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)

# What PyYAML raises for a value that does not fit its tag, for instance a
# date in month 13, a number of 5,000 digits or an unknown tag.
VALUE_ERRORS = (
    yaml.YAMLError,
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)

# tomllib raises ValueError also for numbers that are too long.
TOML_ERRORS = (ValueError, RecursionError)
TOML_ERROR_LINE = re.compile(r"at line (\d+)")
TOML_HEADER = re.compile(r"\[\[?\s*(.+?)\s*\]\]?\s*(#.*)?$")

Path = findings.Path


@dataclasses.dataclass(frozen=True)
class Position:
    """A line of a file; lines count from 1."""

    file: str
    line: int


@dataclasses.dataclass(frozen=True)
class LoadResult:
    """A configuration, or None and the errors that make it invalid.

    ``warnings`` are complete only if every field by itself is valid.
    """

    configuration: schema.Configuration | None
    problems: tuple[findings.Finding, ...]
    warnings: tuple[findings.Finding, ...] = ()


@dataclasses.dataclass(frozen=True)
class KeyList:
    """The keys of a fleet, or None and why they could not be read."""

    keys: tuple[plausibility.Key, ...] | None
    problems: tuple[findings.Finding, ...] = ()


class _ListedKey(pydantic.BaseModel):
    """A key as ``cardamomctl key list --json`` prints it."""

    id: str
    team: str
    withdrawn: bool = False


class _KeyDocument(pydantic.BaseModel):
    """The output of ``cardamomctl key list --json``."""

    keys: tuple[_ListedKey, ...]


class _Merge:
    """The merged tree and the position of each field's last definition."""

    def __init__(self) -> None:
        self.tree: dict[str, typing.Any] = {}
        self.position_by_path: dict[Path, Position] = {}
        self.found: list[findings.Finding] = []

    def report(
        self,
        code: findings.Code,
        position: Position,
        path: Path,
        message: str,
    ) -> None:
        """Add a finding."""
        self.found.append(
            findings.make_finding(
                code, position.file, position.line, path, message
            )
        )

    def report_issue(self, issue: findings.Issue) -> None:
        """Add a finding at the position of its field."""
        self.report(
            issue.code, self.position(issue.path), issue.path, issue.message
        )

    def position(self, path: Path) -> Position:
        """Return the position of a field or else of its nearest parent."""
        for length in range(len(path), 0, -1):
            position = self.position_by_path.get(path[:length])
            if position is not None:
                return position
        return Position("(folder)", 1)

    def result(self, configuration: schema.Configuration | None) -> LoadResult:
        """Return the configuration unless an error was reported."""
        ordered = sorted(self.found, key=lambda f: (f.file, f.line))
        problems = tuple(
            finding
            for finding in ordered
            if finding.severity is findings.Severity.ERROR
        )
        warnings = tuple(
            finding
            for finding in ordered
            if finding.severity is findings.Severity.WARNING
        )
        return LoadResult(
            None if problems else configuration, problems, warnings
        )


def load_folder(
    folder: pathlib.Path,
    keys: typing.Sequence[plausibility.Key] | None = None,
) -> LoadResult:
    """Read, merge and check the files of a folder.

    Files with suffixes other than ``SUFFIXES`` are ignored.  A missing
    folder, unreadable files and syntax errors are returned as problems.
    ``keys`` are those of the fleet; None if they are not known.
    """
    merge = _Merge()
    place = Position(str(folder), 1)
    try:
        files = sorted(p for p in folder.iterdir() if p.suffix in SUFFIXES)
    except OSError as error:
        merge.report(
            findings.Code.FOLDER_UNREADABLE,
            place,
            (),
            f"is not a folder that can be listed: {error.strerror}; use the "
            "path of a folder",
        )
        return merge.result(None)
    if not files:
        merge.report(
            findings.Code.FOLDER_EMPTY,
            place,
            (),
            "contains no .yaml or .toml file; add one",
        )
        return merge.result(None)
    with _paused_collector():
        for file in files:
            _merge_file(merge, file)
    return _validate(merge, keys)


def check_body(
    body: typing.Mapping[str, typing.Any],
    keys: typing.Sequence[plausibility.Key] | None = None,
    with_warnings: bool = True,
) -> LoadResult:
    """Check a configuration that is already one mapping.

    Its findings have the file ``(folder)`` and the line 1.  ``keys`` are
    those of the fleet; None if they are not known.  Without warnings the
    check takes less time; an instance adopts a configuration so.
    """
    merge = _Merge()
    merge.tree = dict(body)
    return _validate(merge, keys, with_warnings)


def load_keys(file: pathlib.Path) -> KeyList:
    """Read what ``cardamomctl key list --json`` has printed."""
    try:
        document = _KeyDocument.model_validate(
            json.loads(file.read_text(encoding="utf-8"))
        )
    except OSError as error:
        return _unreadable_keys(file, f"cannot be read: {error.strerror}")
    except pydantic.ValidationError as error:
        first = error.errors(include_input=False)[0]
        field = ".".join(str(part) for part in first["loc"])
        return _unreadable_keys(file, f"{field or 'list'}: {first['msg']}")
    except (ValueError, RecursionError):
        return _unreadable_keys(file, "is not JSON")
    return KeyList(
        tuple(
            plausibility.Key(key.id, key.team, key.withdrawn)
            for key in document.keys
        )
    )


def _unreadable_keys(file: pathlib.Path, message: str) -> KeyList:
    finding = findings.make_finding(
        findings.Code.KEY_LIST_UNREADABLE,
        str(file),
        1,
        (),
        f"{message}; use the output of cardamomctl key list --json",
    )
    return KeyList(None, (finding,))


def _validate(
    merge: _Merge,
    keys: typing.Sequence[plausibility.Key] | None,
    with_warnings: bool = True,
) -> LoadResult:
    try:
        configuration = schema.Configuration.model_validate(merge.tree)
    except pydantic.ValidationError as error:
        for item in error.errors(include_url=False, include_input=False):
            path = tuple(str(key) for key in item["loc"] if key != "[key]")
            code, message = _describe(
                item["type"], item["msg"], "[key]" in item["loc"]
            )
            merge.report(code, merge.position(path), path, message)
        return merge.result(None)
    for issue in crosschecks.find_errors(configuration):
        merge.report_issue(issue)
    if with_warnings:
        for issue in plausibility.find_warnings(configuration, keys):
            merge.report_issue(issue)
    return merge.result(configuration)


def _describe(
    error_type: str, message: str, is_name: bool
) -> tuple[findings.Code, str]:
    """Return the code and the message for an error of the schema."""
    if error_type == "extra_forbidden":
        return (
            findings.Code.UNKNOWN_FIELD,
            "unknown field; remove it or correct its name",
        )
    if error_type == "missing":
        return findings.Code.MISSING_FIELD, "is required; add it"
    text = message.removeprefix("Value error, ")
    text = text[0].lower() + text[1:]
    if is_name:
        return findings.Code.INVALID_NAME, text
    return findings.Code.INVALID_VALUE, text


@contextlib.contextmanager
def _paused_collector() -> typing.Iterator[None]:
    """Pause the collector of cycles, if it runs.

    The parsed tree is all in use, so each pass over it finds nothing; with
    4,000 routes these passes took a third of the time.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def _merge_file(merge: _Merge, file: pathlib.Path) -> None:
    start = Position(file.name, 1)
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        merge.report(
            findings.Code.FILE_UNREADABLE,
            start,
            (),
            f"cannot be read: {error}",
        )
        return
    if file.suffix == ".toml":
        _merge_toml(merge, file.name, text)
        return
    try:
        node = yaml.compose(text, Loader=LOADER)
    except yaml.MarkedYAMLError as error:
        # libyaml puts an early end of the file on the line after the last.
        mark = error.problem_mark
        last_line = max(1, len(text.splitlines()))
        line = min(mark.line + 1, last_line) if mark else 1
        merge.report(
            findings.Code.SYNTAX,
            Position(file.name, line),
            (),
            f"{error.problem}",
        )
        return
    except (yaml.YAMLError, RecursionError) as error:
        position = getattr(error, "position", None) or 0
        line = text[:position].count("\n") + 1
        reason = getattr(error, "reason", "is nested too deeply")
        merge.report(
            findings.Code.SYNTAX, Position(file.name, line), (), f"{reason}"
        )
        return
    if node is not None:
        _merge_node(merge, file.name, (), node, merge.tree)


def _merge_node(
    merge: _Merge,
    file: str,
    path: Path,
    node: yaml.Node,
    merged: dict[str, typing.Any],
) -> None:
    start = Position(file, node.start_mark.line + 1)
    if not isinstance(node, yaml.MappingNode):
        merge.report(
            findings.Code.NOT_A_MAPPING, start, path, "must be a mapping"
        )
        return
    if len(path) >= MAX_DEPTH:
        merge.report(
            findings.Code.NESTED_TOO_DEEPLY,
            start,
            path,
            "is nested too deeply; remove it",
        )
        return
    keys: set[str] = set()
    for key_node, value_node in node.value:
        position = Position(file, key_node.start_mark.line + 1)
        if not isinstance(key_node, yaml.ScalarNode):
            merge.report(
                findings.Code.INVALID_NAME,
                position,
                path,
                "has a list or mapping as a name; use a text",
            )
            continue
        key = str(key_node.value)
        key_path = (*path, key)
        if key in keys:
            merge.report(
                findings.Code.DEFINED_TWICE,
                position,
                key_path,
                "is defined twice; remove one",
            )
        keys.add(key)
        merge.position_by_path[key_path] = position
        if isinstance(value_node, yaml.MappingNode):
            child = merged.get(key)
            merged[key] = child if isinstance(child, dict) else {}
            _merge_node(merge, file, key_path, value_node, merged[key])
            continue
        try:
            merged[key] = _construct_value(value_node)
        except VALUE_ERRORS:
            merged[key] = None
            merge.report(
                findings.Code.VALUE_UNREADABLE,
                position,
                key_path,
                "has a value that cannot be read; write a plain number, text "
                "or list",
            )


def _construct_value(node: yaml.Node) -> typing.Any:
    constructor = yaml.constructor.SafeConstructor()
    return constructor.construct_object(node, deep=True)


def _merge_toml(merge: _Merge, file: str, text: str) -> None:
    try:
        tree = tomllib.loads(text)
    except TOML_ERRORS as error:
        match = TOML_ERROR_LINE.search(str(error))
        line = int(match.group(1)) if match else 1
        merge.report(
            findings.Code.SYNTAX, Position(file, line), (), str(error)
        )
        return
    _merge_tree(merge, file, _toml_lines(text), (), tree, merge.tree)


def _merge_tree(
    merge: _Merge,
    file: str,
    line_by_field: typing.Mapping[str, int],
    path: Path,
    tree: typing.Mapping[str, typing.Any],
    merged: dict[str, typing.Any],
) -> None:
    for key, value in tree.items():
        key_path = (*path, key)
        merge.position_by_path[key_path] = Position(
            file, _toml_line(line_by_field, key_path)
        )
        if isinstance(value, dict):
            child = merged.get(key)
            merged[key] = child if isinstance(child, dict) else {}
            _merge_tree(
                merge, file, line_by_field, key_path, value, merged[key]
            )
            continue
        merged[key] = value


def _toml_lines(text: str) -> dict[str, int]:
    """Return the first line of each table and of each key, by dotted path."""
    line_by_field: dict[str, int] = {}
    table = ""
    for number, raw in enumerate(text.splitlines(), start=1):
        line = raw.strip()
        header = TOML_HEADER.match(line)
        if header:
            table = _unquoted(header.group(1))
            line_by_field.setdefault(table, number)
        elif "=" in line:
            key = _unquoted(line.split("=")[0].strip())
            field = f"{table}.{key}" if table else key
            line_by_field.setdefault(field, number)
    return line_by_field


def _unquoted(text: str) -> str:
    return text.replace('"', "").replace("'", "")


def _toml_line(line_by_field: typing.Mapping[str, int], path: Path) -> int:
    """Return the line of a field or else of its nearest parent."""
    for length in range(len(path), 0, -1):
        line = line_by_field.get(".".join(path[:length]))
        if line is not None:
            return line
    return 1
