"""Discovery: the watch of the endpoint list, the list's form, and when each endpoint started."""
