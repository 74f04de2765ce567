"""The targets: registry, limits, permits, reachability."""
