"""Which data centres and regions may get requests."""
