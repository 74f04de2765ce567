"""Runs a state machine test on a deliberately broken implementation.

The search is derandomized.  Hypothesis orders rules and their parameters by
name, so a rename that changes this order also changes what the search tries.
"""

import typing

import hypothesis
from hypothesis import stateful
import pytest

SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=500,
    stateful_step_count=60,
    database=None,
    phases=(hypothesis.Phase.generate,),
    suppress_health_check=list(hypothesis.HealthCheck),
)


def must_fail(
    machine: typing.Callable[[], stateful.RuleBasedStateMachine],
) -> None:
    """Assert that a state machine test fails, as it must for a mutant."""
    with pytest.raises(Exception) as raised:
        stateful.run_state_machine_as_test(machine, settings=SETTINGS)
    errors = (AssertionError, ExceptionGroup)
    assert isinstance(raised.value, errors), raised.value
