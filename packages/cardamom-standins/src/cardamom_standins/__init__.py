"""Small stand-ins of the platform and of targets, for tests and the demo.

Start one with ``python -m cardamom_standins KIND``; never import them from
the daemon.
"""
