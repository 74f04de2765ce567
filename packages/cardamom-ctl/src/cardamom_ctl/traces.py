"""The story of one request, from the log lines of all instances.

Lines are the JSON lines that instances write on standard output.  What
stands before the first brace of a line ends with its source, as collectors
write it; without it the source is the file's name.
"""

import dataclasses
import datetime
import enum
import json
import pathlib
import typing

ORDER_HORIZON_S = 15.0  # orders that explain why a model was absent
TARGET_HORIZON_S = 3.0  # what was noticed of a target about that time
CONTEXT_LINES = 12  # of each kind of context

Fields = typing.Mapping[str, typing.Any]


class Ending(enum.Enum):
    """How a request ended, as its last line tells."""

    ANSWERED = "answered"
    REFUSED = "refused before it ran"
    FAILED = "failed, it may have run"
    BROKEN_OFF = "broken off"
    UNKNOWN = "its end is in no line"


@dataclasses.dataclass(frozen=True)
class LogLine:
    """One line: where it was written, when, and what it says."""

    source: str
    at: datetime.datetime
    event: str
    fields: Fields

    def get(self, name: str) -> str:
        """Return a field as text, empty if it is absent."""
        value = self.fields.get(name)
        return "" if value is None else str(value)

    def render(self) -> str:
        """Return the line as a person reads it."""
        shown = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in ("event", "level", "timestamp", "id")
            and value not in ("", None)
        )
        time = self.at.strftime("%H:%M:%S.%f")[:-3]
        return f"{time} {self.source} {self.event}  {shown}"


@dataclasses.dataclass(frozen=True)
class Log:
    """The lines of some sources in order, and how many were unreadable."""

    lines: tuple[LogLine, ...]
    unreadable: int


@dataclasses.dataclass(frozen=True)
class Story:
    """What is known of a request: its lines, its end and the context."""

    request: str
    lines: tuple[LogLine, ...]
    ending: Ending
    reason: str
    context: tuple[LogLine, ...]


def read_log(
    texts: typing.Iterable[tuple[str, typing.Iterable[str]]],
) -> Log:
    """Return the lines of texts, each with the name of its source."""
    lines: list[LogLine] = []
    unreadable = 0
    for source, text in texts:
        for raw in text:
            if "{" not in raw:
                continue
            line = parse_line(source, raw)
            if line is None:
                unreadable += 1
            else:
                lines.append(line)
    lines.sort(key=lambda line: line.at)
    return Log(tuple(lines), unreadable)


def parse_line(source: str, raw: str) -> LogLine | None:
    """Return a line, or None if it cannot be read."""
    prefix, brace, rest = raw.partition("{")
    try:
        fields = json.loads(brace + rest)
        at = datetime.datetime.fromisoformat(fields["timestamp"])
        event = str(fields["event"])
    except (ValueError, KeyError, TypeError):
        return None
    words = prefix.split()
    return LogLine(words[-1] if words else source, at, event, fields)


def open_files(
    files: typing.Iterable[pathlib.Path],
) -> typing.Iterator[tuple[str, typing.Iterable[str]]]:
    """Yield the name and the lines of each file; raises OSError."""
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as opened:
            yield path.stem, opened


def tell(log: Log, request: str) -> Story | None:
    """Return the story of a request, None if no line names it."""
    own = tuple(line for line in log.lines if line.get("id") == request)
    if not own:
        return None
    last = own[-1]
    return Story(
        request, own, _ending(last), last.get("reason"), _context(log, own)
    )


def _ending(last: LogLine) -> Ending:
    if last.event == "forward: answered":
        return Ending.ANSWERED
    if last.event == "forward: broken off":
        return Ending.BROKEN_OFF
    if last.event == "forward: refused":
        has_run = last.fields.get("not_run") is False
        return Ending.FAILED if has_run else Ending.REFUSED
    return Ending.UNKNOWN


def _context(log: Log, own: tuple[LogLine, ...]) -> tuple[LogLine, ...]:
    """Return what instances decided or noticed that bears on a request."""
    kinds = (
        _orders_of_model(log, own),
        _notices_of_targets(log, own),
        _versions(log, own),
    )
    found = {
        id(line): line for kind in kinds for line in kind[-CONTEXT_LINES:]
    }
    return tuple(sorted(found.values(), key=lambda line: line.at))


def _orders_of_model(log: Log, own: tuple[LogLine, ...]) -> list[LogLine]:
    names = {line.get("model") for line in own} - {""}
    return [
        line
        for line in _between(log, own, ORDER_HORIZON_S)
        if line.event in ("placing: order", "placing: order failed")
        and (
            line.get("model") in names
            or any(line.get("reason").startswith(name) for name in names)
        )
    ]


def _notices_of_targets(log: Log, own: tuple[LogLine, ...]) -> list[LogLine]:
    names = {line.get("target") for line in own} - {"", "-"}
    return [
        line
        for line in _between(log, own, TARGET_HORIZON_S)
        if line.get("target") in names
        and line.event.startswith(("targets: ", "gateway: target"))
    ]


def _versions(log: Log, own: tuple[LogLine, ...]) -> list[LogLine]:
    """Return when the configurations came that the lines were decided by."""
    wanted = {
        (line.source, line.get("configuration"))
        for line in own
        if line.get("configuration")
    }
    return [
        line
        for line in log.lines
        if line.event == "gateway: configuration in force"
        and (line.source, line.get("version")) in wanted
    ]


def _between(
    log: Log, own: tuple[LogLine, ...], before_s: float
) -> typing.Iterator[LogLine]:
    start = own[0].at - datetime.timedelta(seconds=before_s)
    end = own[-1].at + datetime.timedelta(seconds=TARGET_HORIZON_S)
    return (line for line in log.lines if start <= line.at <= end)
