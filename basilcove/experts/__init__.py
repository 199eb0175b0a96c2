"""Expert placement of a group: planning and activation of expert maps."""
