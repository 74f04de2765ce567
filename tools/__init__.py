"""Developers' tools: the demo's deployment, soak, bench and slopes."""
