"""The configuration that operators write: schema, folders and differences."""
