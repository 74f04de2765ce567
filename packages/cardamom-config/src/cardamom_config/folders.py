"""Reads a folder of configuration files, merged in the order of their names.

All errors are reported together, each with its file and line and, where
possible, with how to correct it.
"""

import dataclasses
import pathlib
import tomllib
import typing

import pydantic
import yaml

from cardamom_config import crosschecks
from cardamom_config import schema

SUFFIXES = (".yaml", ".yml", ".toml")

Path = tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Position:
    """A line of a file; lines count from 1."""

    file: str
    line: int


@dataclasses.dataclass(frozen=True)
class Problem:
    """One error in a folder; ``field`` is a dotted path or empty."""

    file: str
    line: int
    field: str
    message: str

    def __str__(self) -> str:
        field = f" {self.field}:" if self.field else ""
        return f"{self.file}:{self.line}:{field} {self.message}"


@dataclasses.dataclass(frozen=True)
class LoadResult:
    """A configuration, or None and the problems that make it invalid."""

    configuration: schema.Configuration | None
    problems: tuple[Problem, ...]


class _Merge:
    """The merged tree and the position of each field's last definition."""

    def __init__(self) -> None:
        self.tree: dict[str, typing.Any] = {}
        self.position_by_path: dict[Path, Position] = {}
        self.problems: list[Problem] = []

    def report(self, position: Position, field: str, message: str) -> None:
        """Add a problem."""
        self.problems.append(
            Problem(position.file, position.line, field, message),
        )

    def position(self, path: Path) -> Position:
        """Return the position of a field or else of its nearest parent."""
        for length in range(len(path), 0, -1):
            position = self.position_by_path.get(path[:length])
            if position is not None:
                return position
        return Position("(folder)", 1)


def load_folder(folder: pathlib.Path) -> LoadResult:
    """Read, merge and check the files of a folder.

    Files with suffixes other than ``SUFFIXES`` are ignored.  A missing
    folder, unreadable files and syntax errors are returned as problems.
    """
    merge = _Merge()
    if not folder.is_dir():
        problem = Problem(
            str(folder), 1, "", "is not a folder; use the path of a folder"
        )
        return LoadResult(None, (problem,))
    files = sorted(p for p in folder.iterdir() if p.suffix in SUFFIXES)
    if not files:
        problem = Problem(
            str(folder), 1, "", "contains no .yaml or .toml file"
        )
        return LoadResult(None, (problem,))
    for file in files:
        _merge_file(merge, file)
    return _validate(merge)


def check_body(body: typing.Mapping[str, typing.Any]) -> LoadResult:
    """Check a configuration that is already one mapping.

    Its problems have the file ``(folder)`` and the line 1.
    """
    merge = _Merge()
    merge.tree = dict(body)
    return _validate(merge)


def _validate(merge: _Merge) -> LoadResult:
    configuration = None
    try:
        configuration = schema.Configuration.model_validate(merge.tree)
    except pydantic.ValidationError as error:
        for item in error.errors():
            path = tuple(str(key) for key in item["loc"] if key != "[key]")
            merge.report(
                merge.position(path),
                ".".join(path),
                _message_of(item["type"], item["msg"]),
            )
    if configuration is not None:
        for path, message in crosschecks.find_problems(configuration):
            merge.report(merge.position(path), ".".join(path), message)
    if merge.problems:
        problems = sorted(merge.problems, key=lambda p: (p.file, p.line))
        return LoadResult(None, tuple(problems))
    return LoadResult(configuration, ())


def _message_of(error_type: str, message: str) -> str:
    if error_type == "extra_forbidden":
        return "unknown field; remove it or correct its name"
    if error_type == "missing":
        return "is required; add it"
    return message[0].lower() + message[1:]


def _merge_file(merge: _Merge, file: pathlib.Path) -> None:
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        merge.report(Position(file.name, 1), "", f"cannot be read: {error}")
        return
    if file.suffix == ".toml":
        _merge_toml(merge, file.name, text)
        return
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        line = mark.line + 1 if mark else 1
        merge.report(Position(file.name, line), "", f"{error.problem}")
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
    if not isinstance(node, yaml.MappingNode):
        position = Position(file, node.start_mark.line + 1)
        merge.report(position, ".".join(path), "must be a mapping")
        return
    keys: set[str] = set()
    for key_node, value_node in node.value:
        key = str(key_node.value)
        position = Position(file, key_node.start_mark.line + 1)
        key_path = (*path, key)
        if key in keys:
            merge.report(position, ".".join(key_path), "is defined twice")
        keys.add(key)
        merge.position_by_path[key_path] = position
        if isinstance(value_node, yaml.MappingNode):
            child = merged.get(key)
            merged[key] = child if isinstance(child, dict) else {}
            _merge_node(merge, file, key_path, value_node, merged[key])
            continue
        merged[key] = _construct_value(value_node)


def _construct_value(node: yaml.Node) -> typing.Any:
    loader = yaml.SafeLoader("")
    try:
        return loader.construct_object(node, deep=True)
    finally:
        loader.dispose()


def _merge_toml(merge: _Merge, file: str, text: str) -> None:
    try:
        tree = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        merge.report(Position(file, 1), "", str(error))
        return
    lines = text.splitlines()
    _merge_tree(merge, file, lines, (), tree, merge.tree)


def _merge_tree(
    merge: _Merge,
    file: str,
    lines: list[str],
    path: Path,
    tree: typing.Mapping[str, typing.Any],
    merged: dict[str, typing.Any],
) -> None:
    for key, value in tree.items():
        key_path = (*path, key)
        merge.position_by_path[key_path] = Position(
            file, _toml_line(lines, key_path)
        )
        if isinstance(value, dict):
            child = merged.get(key)
            merged[key] = child if isinstance(child, dict) else {}
            _merge_tree(merge, file, lines, key_path, value, merged[key])
            continue
        merged[key] = value


def _toml_line(lines: list[str], path: Path) -> int:
    """Return the line of a table header or of a key within its table."""
    table = ""
    for number, line in enumerate(lines, start=1):
        text = line.strip()
        if text.startswith("["):
            table = text.strip("[]").replace('"', "")
            if table == ".".join(path):
                return number
        elif (
            table == ".".join(path[:-1])
            and text.split("=")[0].strip() == (path[-1])
        ):
            return number
    return 1
