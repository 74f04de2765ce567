"""What a check of a configuration reports: codes, severities, findings."""

import dataclasses
import enum
import typing

from cardamom_config import redaction

Path = tuple[str, ...]


class Severity(enum.Enum):
    """Whether a configuration is refused for a finding."""

    ERROR = "error"
    WARNING = "warning"


class Code(enum.Enum):
    """The stable codes of findings.

    docs/operators/configuration-checks.md has a paragraph for each.
    """

    FOLDER_UNREADABLE = "folder-unreadable"
    FOLDER_EMPTY = "folder-empty"
    FILE_UNREADABLE = "file-unreadable"
    SYNTAX = "syntax"
    VALUE_UNREADABLE = "value-unreadable"
    NOT_A_MAPPING = "not-a-mapping"
    NESTED_TOO_DEEPLY = "nested-too-deeply"
    DEFINED_TWICE = "defined-twice"
    KEY_LIST_UNREADABLE = "key-list-unreadable"
    UNKNOWN_FIELD = "unknown-field"
    MISSING_FIELD = "missing-field"
    INVALID_NAME = "invalid-name"
    INVALID_VALUE = "invalid-value"
    BURST_BELOW_DEFAULT_ANSWER = "burst-below-default-answer"
    MODEL_TOO_LARGE = "model-too-large"
    MIN_READY_ABOVE_ENGINES = "min-ready-above-engines"
    ADAPTER_WITHOUT_MODEL = "adapter-without-model"
    ADAPTER_TOO_LARGE = "adapter-too-large"
    ROUTE_METHOD_UNKNOWN = "route-method-unknown"
    ROUTE_WITHOUT_TARGETS = "route-without-targets"
    ROUTE_PATH_RESERVED = "route-path-reserved"
    ROUTE_OPEN_NOT_IDEMPOTENT = "route-open-not-idempotent"
    ROUTE_DUPLICATE = "route-duplicate"
    TARGET_URL_DUPLICATE = "target-url-duplicate"
    ENGINE_WITHOUT_MEMORY = "engine-without-memory"

    ROUTE_SHADOWED = "route-shadowed"
    ROUTE_PARTLY_SHADOWED = "route-partly-shadowed"
    ROUTE_WITHOUT_METHODS = "route-without-methods"
    ROUTE_TIMEOUT_TOO_SHORT = "route-timeout-too-short"
    TARGET_WITHOUT_ROUTE = "target-without-route"
    TEAM_WITHOUT_KEY = "team-without-key"
    KEY_OF_TWO_TEAMS = "key-of-two-teams"
    KEY_WITHOUT_TEAM = "key-without-team"
    BURST_BELOW_MAX_TOKENS = "burst-below-max-tokens"
    BURST_BELOW_ROUTE_COST = "burst-below-route-cost"
    TEAM_RATES_ABOVE_ENGINES = "team-rates-above-engines"
    MIN_READY_ABOVE_MEMORY = "min-ready-above-memory"
    MIN_READY_ABOVE_FITTING_ENGINES = "min-ready-above-fitting-engines"
    RETRIES_WITHOUT_BUDGET = "retries-without-budget"
    DEADLINE_BELOW_FIRST_TOKEN = "deadline-below-first-token"
    DEADLINE_BELOW_ANSWER = "deadline-below-answer"
    QUEUE_TIMEOUT_ABOVE_DEADLINE = "queue-timeout-above-deadline"
    DEFAULT_ABOVE_MAX_TOKENS = "default-above-max-tokens"


WARNING_CODES = frozenset(
    {
        Code.ROUTE_SHADOWED,
        Code.ROUTE_PARTLY_SHADOWED,
        Code.ROUTE_WITHOUT_METHODS,
        Code.ROUTE_TIMEOUT_TOO_SHORT,
        Code.TARGET_WITHOUT_ROUTE,
        Code.TEAM_WITHOUT_KEY,
        Code.KEY_OF_TWO_TEAMS,
        Code.KEY_WITHOUT_TEAM,
        Code.BURST_BELOW_MAX_TOKENS,
        Code.BURST_BELOW_ROUTE_COST,
        Code.TEAM_RATES_ABOVE_ENGINES,
        Code.MIN_READY_ABOVE_MEMORY,
        Code.MIN_READY_ABOVE_FITTING_ENGINES,
        Code.RETRIES_WITHOUT_BUDGET,
        Code.DEADLINE_BELOW_FIRST_TOKEN,
        Code.DEADLINE_BELOW_ANSWER,
        Code.QUEUE_TIMEOUT_ABOVE_DEADLINE,
        Code.DEFAULT_ABOVE_MAX_TOKENS,
    }
)


def severity_of(code: Code) -> Severity:
    """Return the severity of all findings with a code."""
    return Severity.WARNING if code in WARNING_CODES else Severity.ERROR


@dataclasses.dataclass(frozen=True)
class Issue:
    """A finding before its file and line are known."""

    code: Code
    path: Path
    message: str


@dataclasses.dataclass(frozen=True)
class Finding:
    """One error or warning.

    ``field`` is a dotted path or empty; lines count from 1.  The message says
    what would be right.
    """

    code: Code
    file: str
    line: int
    field: str
    message: str

    @property
    def severity(self) -> Severity:
        """Return whether a configuration is refused for it."""
        return severity_of(self.code)

    def __str__(self) -> str:
        field = f" {self.field}:" if self.field else ""
        return f"{self.file}:{self.line}:{field} {self.message}"

    def render(self) -> str:
        """Return the finding as one line that ends with its code."""
        return f"{self} [{self.severity.value} {self.code.value}]"

    def to_json(self) -> dict[str, typing.Any]:
        """Return the finding in JSON types."""
        return {
            "severity": self.severity.value,
            "code": self.code.value,
            "file": self.file,
            "line": self.line,
            "field": self.field,
            "message": self.message,
        }


def make_finding(
    code: Code, file: str, line: int, path: Path, message: str
) -> Finding:
    """Return a finding whose texts hold no secrets."""
    return Finding(
        code,
        file,
        line,
        redaction.redact_text(".".join(path)),
        redaction.redact_text(message),
    )


def show_number(value: float) -> str:
    """Return a number as a message shows it."""
    return str(value) if isinstance(value, int) else f"{value:.15g}"
