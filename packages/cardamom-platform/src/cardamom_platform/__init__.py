"""Interfaces to the platform and to targets, and their HTTP clients.

Importing ``cardamom_platform.plugins`` registers the clients as plug-ins.
"""
