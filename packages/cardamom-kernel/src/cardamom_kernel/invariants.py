"""Invariant checks that are also active in production.

A violation is logged and counted.  With ``set_fatal(True)``, as in tests, it
also raises InvariantViolation.
"""

import collections

import structlog

LOG = structlog.get_logger("cardamom.invariants")

count_by_name: collections.Counter[str] = collections.Counter()


class InvariantViolation(AssertionError):
    """Raised for a violated invariant when violations are fatal."""


class _Mode:
    fatal = False


def set_fatal(fatal: bool) -> None:
    """Set whether a violation raises InvariantViolation."""
    _Mode.fatal = fatal


def check(holds: bool, name: str, **details: object) -> bool:
    """Record a violation of ``name`` unless it holds, and return ``holds``.

    ``details`` are added to the log line.  Raises InvariantViolation if
    violations are fatal.
    """
    if holds:
        return True
    count_by_name[name] += 1
    LOG.error("invariant: violated", invariant=name, **details)
    if _Mode.fatal:
        raise InvariantViolation(f"{name}: {details}")
    return False


def violations() -> int:
    """Return the number of violations recorded in this process."""
    return sum(count_by_name.values())
