"""HTTP/1.1 on the event loop, both sides, parsed by httptools."""
