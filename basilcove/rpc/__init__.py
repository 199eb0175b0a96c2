"""Links between nodes over gRPC."""
