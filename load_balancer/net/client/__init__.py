"""Clients' connections: their bytes become requests, and each request gets one final response."""
