"""Stand-ins for clients, backends and the platform, shared by the cases of the review."""
