"""HTTP/1.1 towards samplers: strict framing, one request at a time on a connection."""
