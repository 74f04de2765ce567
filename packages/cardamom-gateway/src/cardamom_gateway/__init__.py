"""The gateway: routes, limits and attempts before replicated targets."""
