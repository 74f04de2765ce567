"""Coordination modules for fleets of stateless instances.

The modules freshness, rosters, shares, claims, leases, suspicion, growsets
and documents can be embedded one by one.  None of them opens a socket; the
embedding program provides the clock, the table and the message transport.
"""
