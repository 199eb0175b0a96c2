"""Small fakes of the systems beside basilcove, run as plain processes."""
