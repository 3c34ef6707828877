"""Stand-ins of the second review: the platform, discovery, backends and clients, on loopback addresses."""
