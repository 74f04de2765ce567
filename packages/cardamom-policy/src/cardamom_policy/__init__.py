"""Decisions on explicit state: admission, fairness, routing, placement."""
