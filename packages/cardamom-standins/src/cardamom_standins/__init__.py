"""Small stand-ins for the platform and for targets, for tests and the demo.

Run one with ``python -m cardamom_standins KIND``.  The daemon must not import
this package.
"""
