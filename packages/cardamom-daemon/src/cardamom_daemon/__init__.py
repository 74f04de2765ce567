"""The cardamomd daemon: caller, peer and operator ports of one instance."""
