"""Benchmark of the policies, the fleet-wide rate limits and the proxy."""
