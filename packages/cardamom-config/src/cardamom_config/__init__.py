"""The operators' configuration: schema, folder reader and differences."""
