"""Workspace policies: short CEL programs that are evaluated for each request.

A policy is one expression over ``request`` and ``workspace`` that returns a map with
the optional keys ``admit`` (bool), ``priority`` (int) and ``max_tokens`` (int). A
policy that doesn't compile is refused when it is published. If a policy fails at run
time, the request gets the values of :data:`DEFAULT_DECISION` with ``failed`` set, and
the caller of :meth:`Policy.evaluate` counts the failure.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from railfold._internal.errors import ConfigurationRefusedError

__all__ = ["DEFAULT_DECISION", "MAX_POLICY_BYTES", "Policy", "PolicyDecision"]

MAX_POLICY_BYTES = 2048

# Each comprehension may loop over its whole input, and nested ones multiply the cost.
_MAX_COMPREHENSIONS = 2
_COMPREHENSIONS = (".map(", ".filter(", ".all(", ".exists(", ".exists_one(")

_RESULT_TYPES = {"admit": bool, "priority": int, "max_tokens": int}


@dataclass(frozen=True, slots=True)
class PolicyDecision:
    """A policy's result for one request; None keeps the value from the request.

    :param failed: whether the policy failed, so that the other fields are defaults.
    """

    admit: bool = True
    priority: int | None = None
    max_tokens: int | None = None
    failed: bool = False


DEFAULT_DECISION = PolicyDecision()
_FAILED_DECISION = PolicyDecision(failed=True)


class Policy:
    """A compiled policy."""

    def __init__(self, program: Any) -> None:
        self._program = program

    @classmethod
    def compile(cls, text: str) -> Policy:
        """Compile the policy in ``text``.

        :raises ConfigurationRefusedError: the text is over the size limit, has too
            many comprehensions, or isn't a valid expression.
        """
        problems = []
        if len(text.encode()) > MAX_POLICY_BYTES:
            problems.append(f"policy is over {MAX_POLICY_BYTES} bytes")
        comprehensions = sum(text.count(name) for name in _COMPREHENSIONS)
        if comprehensions > _MAX_COMPREHENSIONS:
            problems.append(f"policy has over {_MAX_COMPREHENSIONS} comprehensions")
        if problems:
            raise ConfigurationRefusedError("policy", problems)
        # Imported on first use: the library imports a terminal toolkit, which would
        # add a third of a second to the start of every process.
        import cel

        try:
            return cls(cel.compile(text))
        except ValueError as error:
            problem = f"policy doesn't compile: {error}"
            raise ConfigurationRefusedError("policy", [problem]) from error

    def evaluate(self, workspace: str, request: dict[str, Any]) -> PolicyDecision:
        """Return the decision on a request.

        If the program fails or its result isn't valid, return the default decision
        with ``failed`` set.
        """
        try:
            result = self._program.execute({"workspace": workspace, "request": request})
        except (ValueError, TypeError, RuntimeError, KeyError):
            return _FAILED_DECISION
        if not isinstance(result, dict) or not result.keys() <= _RESULT_TYPES.keys():
            return _FAILED_DECISION
        if any(type(value) is not _RESULT_TYPES[key] for key, value in result.items()):
            return _FAILED_DECISION
        return PolicyDecision(**result)
