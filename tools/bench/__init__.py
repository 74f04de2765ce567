"""The bench: the decisions under load, the rates, the proxy's own cost."""
