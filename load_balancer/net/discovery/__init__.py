"""Discovery: the watch on the endpoint list, the list's JSON format, and the start times of endpoints."""
