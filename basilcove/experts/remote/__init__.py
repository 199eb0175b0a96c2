"""Expert maps of groups whose ranks the control leader calls directly."""
