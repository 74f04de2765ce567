"""List the names that leave the processes, as docs/NAMES.md shows them.

    python -m tools.names           print the page
    python -m tools.names --bare    print the names, one a line

The list is read from the code: texts without a blank (keys, values, paths,
header names), keywords of log calls, log events that the documentation names,
fields of dataclasses that are written out by field, and command line options.
Some texts are used inside a process only; they stand here all the same.
"""

import ast
import dataclasses
import pathlib
import re
import sys
import typing

import typer

from cardamom_config import schema
from cardamom_ctl import cli as ctl_cli
from cardamom_ctl import traces
from cardamom_daemon import cli as daemon_cli
from cardamom_daemon import keyring
from cardamom_daemon import messages
from cardamom_gateway import metrics
from cardamom_gateway import settings
from cardamom_kernel import documents
from cardamom_kernel import rosters
from cardamom_kernel import shares
from cardamom_kernel import suspicion
from cardamom_standins import base
from cardamom_standins import residents
import pydantic

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "NAMES.md"
SOURCES = ("packages", "platform", "deploy", "tools")
PAGES = ("README.md", "KNOWN-RED.txt", "docs/OPERATIONS.md", "docs/operators")
LOG_LEVELS = {"debug", "info", "warning", "error", "exception", "bind"}
QUOTED = re.compile(r"[`\"]([^`\"\n]+)[`\"]")
WORD = re.compile(r"(?=.*[A-Za-z])\S+")
SERIALIZED: tuple[type, ...] = (
    keyring.KeyRecord,
    rosters.Seat,
    settings.GatewaySettings,
    base.Faults,
    residents.Resident,
)
HEADING = """# The names that leave the processes

Written by `python -m tools.names` from the code and checked by
`tests/test_names.py`. These names are read by callers, targets, other
instances, operators and their tools, or stand in stored data, so they change
only with all of these. Texts that are used inside one process stand here when
they look the same.
"""


def sources(folder: str) -> typing.Iterator[ast.Module]:
    """Yield the syntax trees of a folder's modules, without docstrings."""
    for path in sorted((ROOT / folder).rglob("*.py")):
        if path == pathlib.Path(__file__).resolve() or ".venv" in path.parts:
            continue
        yield ast.parse(path.read_text())


def texts(tree: ast.Module) -> typing.Iterator[str]:
    """Yield the texts of a module but docstrings and quoted types."""
    skipped = {
        id(part)
        for node in ast.walk(tree)
        for name in ("annotation", "returns")
        for part in ast.walk(getattr(node, name, None) or ast.Pass())
    } | {
        id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)
    }
    for node in ast.walk(tree):
        if not isinstance(node, ast.Constant) or id(node) in skipped:
            continue
        if isinstance(node.value, bytes):
            yield node.value.decode("latin-1")
        elif isinstance(node.value, str):
            yield node.value


def log_fields(tree: ast.Module) -> typing.Iterator[str]:
    """Yield the keywords of log calls and of checks of invariants."""
    for node in ast.walk(tree):
        if (
            isinstance(node, ast.Call)
            and isinstance(node.func, ast.Attribute)
            and isinstance(node.func.value, ast.Name)
            and (node.func.value.id, node.func.attr)
            in {("invariants", "check")}
            | {("LOG", level) for level in LOG_LEVELS}
        ):
            yield from (word.arg for word in node.keywords if word.arg)


def documented(all_texts: set[str]) -> set[str]:
    """Return the texts with blanks that the documentation quotes whole."""
    pages: list[pathlib.Path] = []
    for name in PAGES:
        path = ROOT / name
        pages += sorted(path.rglob("*.md")) if path.is_dir() else [path]
    quoted = {
        " ".join(found.split())
        for page in pages
        for found in QUOTED.findall(page.read_text())
    }
    return {text for text in all_texts if " " in text and text in quoted}


def serialized_fields() -> set[str]:
    """Return the fields of messages, stored rows and configurations."""
    kinds = [
        kind
        for module in (documents, messages, schema, shares, suspicion)
        for kind in vars(module).values()
        if isinstance(kind, type) and kind.__module__ == module.__name__
    ]
    found: set[str] = set()
    for kind in (*kinds, *SERIALIZED):
        if issubclass(kind, pydantic.BaseModel):
            found |= set(kind.model_fields)
        elif dataclasses.is_dataclass(kind):
            found |= {
                field.name
                for field in dataclasses.fields(kind)
                if not field.name.startswith("_")
            }
    return found


def options(app: typer.Typer) -> set[str]:
    """Return the commands, arguments, options and variables of an app."""
    return set(_options(typer.main.get_command(app)))


def _options(command: typing.Any) -> typing.Iterator[str]:
    for parameter in command.params:
        yield from (*parameter.opts, *parameter.secondary_opts)
        if isinstance(parameter.envvar, str):
            yield parameter.envvar
    for name, child in getattr(command, "commands", {}).items():
        yield name
        yield from _options(child)


def metric_names() -> set[str]:
    """Return the gateway's metrics and their labels."""
    found: set[str] = set()
    for name, value in vars(metrics.Metrics()).items():
        if name != "registry":
            found |= {value._name, *value._labelnames}
    return found


def names_by_heading() -> dict[str, set[str]]:
    """Return the names in the order of the page."""
    trees = {folder: list(sources(folder)) for folder in SOURCES}
    everything = {
        text
        for folder in SOURCES
        for tree in trees[folder]
        for text in texts(tree)
    }
    fields = {
        field
        for folder in SOURCES
        for tree in trees[folder]
        for field in log_fields(tree)
    }
    found = {
        "Log events and other texts that the documentation quotes": documented(
            everything
        ),
        "Fields of log lines and of violated invariants": fields,
        "Fields of messages, stored rows and the configuration": (
            serialized_fields()
        ),
        "Options and variables of cardamomd": options(daemon_cli.app),
        "Commands, options and variables of cardamomctl": options(ctl_cli.app)
        | {ending.name.lower() for ending in traces.Ending},
        "Metrics of the gateway": metric_names(),
    }
    for folder in SOURCES:
        found[f"Keys, values and paths in {folder}"] = {
            text
            for tree in trees[folder]
            for text in texts(tree)
            if WORD.fullmatch(text)
        }
    return found


def render() -> str:
    """Return the page."""
    parts = [HEADING]
    for heading, names in names_by_heading().items():
        lines = "\n".join(f"- `{name}`" for name in sorted(names))
        parts.append(f"## {heading}\n\n{lines}\n")
    return "\n".join(parts)


def main() -> None:
    """Print the page, or the bare names."""
    if "--bare" in sys.argv[1:]:
        bare = set().union(*names_by_heading().values())
        print("\n".join(sorted(bare)))
    else:
        print(render(), end="")


if __name__ == "__main__":
    main()
