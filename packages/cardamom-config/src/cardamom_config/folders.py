"""Reading a folder of small files, merged in the order of their names.

Every error is found in one pass and carries file, line and what to do.
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
    """A place in a file; lines count from 1."""

    file: str
    line: int


@dataclasses.dataclass(frozen=True)
class Problem:
    """One error in a folder."""

    file: str
    line: int
    field: str
    message: str

    def __str__(self) -> str:
        field = f" {self.field}:" if self.field else ""
        return f"{self.file}:{self.line}:{field} {self.message}"


@dataclasses.dataclass(frozen=True)
class Loaded:
    """A folder's configuration, or what is wrong with it."""

    configuration: schema.Configuration | None
    problems: tuple[Problem, ...]


class _Merge:
    """The merged tree and where each of its fields was last written."""

    def __init__(self) -> None:
        self.tree: dict[str, typing.Any] = {}
        self.position_by_path: dict[Path, Position] = {}
        self.problems: list[Problem] = []

    def report(self, position: Position, field: str, message: str) -> None:
        """Note a problem."""
        self.problems.append(
            Problem(position.file, position.line, field, message),
        )

    def position(self, path: Path) -> Position:
        """Return where a field, or else its nearest parent, was written."""
        for length in range(len(path), 0, -1):
            found = self.position_by_path.get(path[:length])
            if found is not None:
                return found
        return Position("(folder)", 1)


def load_folder(folder: pathlib.Path) -> Loaded:
    """Read, merge and check a folder."""
    merge = _Merge()
    if not folder.is_dir():
        problem = Problem(str(folder), 1, "", "is not a folder; name one")
        return Loaded(None, (problem,))
    files = sorted(p for p in folder.iterdir() if p.suffix in SUFFIXES)
    if not files:
        problem = Problem(str(folder), 1, "", "holds no .yaml or .toml file")
        return Loaded(None, (problem,))
    for file in files:
        _merge_file(merge, file)
    return _validate(merge)


def check_body(body: typing.Mapping[str, typing.Any]) -> Loaded:
    """Check a configuration that was merged elsewhere."""
    merge = _Merge()
    merge.tree = dict(body)
    return _validate(merge)


def _validate(merge: _Merge) -> Loaded:
    configuration = None
    try:
        configuration = schema.Configuration.model_validate(merge.tree)
    except pydantic.ValidationError as error:
        for item in error.errors():
            path = tuple(str(part) for part in item["loc"] if part != "[key]")
            merge.report(
                merge.position(path),
                ".".join(path),
                _explain(item["type"], item["msg"]),
            )
    if configuration is not None:
        for path, message in crosschecks.find(configuration):
            merge.report(merge.position(path), ".".join(path), message)
    if merge.problems:
        ordered = sorted(merge.problems, key=lambda p: (p.file, p.line))
        return Loaded(None, tuple(ordered))
    return Loaded(configuration, ())


def _explain(kind: str, message: str) -> str:
    if kind == "extra_forbidden":
        return "unknown field; remove it or correct its name"
    if kind == "missing":
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
    into: dict[str, typing.Any],
) -> None:
    if not isinstance(node, yaml.MappingNode):
        position = Position(file, node.start_mark.line + 1)
        merge.report(position, ".".join(path), "must be a mapping")
        return
    seen: set[str] = set()
    for key_node, value_node in node.value:
        key = str(key_node.value)
        position = Position(file, key_node.start_mark.line + 1)
        here = (*path, key)
        if key in seen:
            merge.report(position, ".".join(here), "is given twice")
        seen.add(key)
        merge.position_by_path[here] = position
        if isinstance(value_node, yaml.MappingNode):
            child = into.get(key)
            into[key] = child if isinstance(child, dict) else {}
            _merge_node(merge, file, here, value_node, into[key])
            continue
        into[key] = _construct(value_node)


def _construct(node: yaml.Node) -> typing.Any:
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
    into: dict[str, typing.Any],
) -> None:
    for key, value in tree.items():
        here = (*path, key)
        merge.position_by_path[here] = Position(file, _toml_line(lines, here))
        if isinstance(value, dict):
            child = into.get(key)
            into[key] = child if isinstance(child, dict) else {}
            _merge_tree(merge, file, lines, here, value, into[key])
            continue
        into[key] = value


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
