"""The document that describes an environment."""
