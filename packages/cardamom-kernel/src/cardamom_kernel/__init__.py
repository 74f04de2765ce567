"""Coordination parts for fleets of stateless instances.

Each module stands alone and can be embedded: freshness, rosters, shares,
claims, leases, suspicion, growsets and documents.  None of them opens a
socket; callers bring the clock, the table and the messages.
"""
