"""Models on engines: placement, orders, holdings, demand."""
