"""Interfaces of the platform and of targets, and their HTTP clients.

Importing ``cardamom_platform.plugins`` registers the clients.
"""
