"""State updates and calls between instances."""
