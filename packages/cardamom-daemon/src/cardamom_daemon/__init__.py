"""The cardamomd daemon: one instance with its caller, peer, operator ports."""
