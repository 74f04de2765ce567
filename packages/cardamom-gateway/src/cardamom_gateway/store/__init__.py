"""Reads of the platform's store, by one instance a data centre."""
