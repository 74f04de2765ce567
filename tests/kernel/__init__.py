"""Tests of the coordination modules."""
