"""HTTP/1.1 client for samplers: strict framing, no pipelining."""
