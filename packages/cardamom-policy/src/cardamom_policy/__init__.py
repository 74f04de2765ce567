"""Decisions from explicit state: admission, fairness, routing, placement."""
