"""Invariants that stay on in production.

A violation is logged and counted; with ``fatal`` set, as in tests, it also
raises.
"""

import collections

import structlog

LOG = structlog.get_logger("cardamom.invariants")

count_by_name: collections.Counter[str] = collections.Counter()


class InvariantViolation(AssertionError):
    """Raised for a broken invariant when violations are fatal."""


class _Mode:
    fatal = False


def set_fatal(fatal: bool) -> None:
    """Choose whether a violation raises."""
    _Mode.fatal = fatal


def check(holds: bool, name: str, **details: object) -> bool:
    """Record a violation of ``name`` unless it holds, and return ``holds``.

    Raises InvariantViolation if violations are fatal.
    """
    if holds:
        return True
    count_by_name[name] += 1
    LOG.error("invariant: violated", invariant=name, **details)
    if _Mode.fatal:
        raise InvariantViolation(f"{name}: {details}")
    return False


def violations() -> int:
    """Return how many violations this process has seen."""
    return sum(count_by_name.values())
