"""The final responses that the proxy gives on its own account."""

from __future__ import annotations

from load_balancer.net.driver.client_messages import ClientResponse

# Nothing of the request was forwarded, so that its client may send it again.
SERVICE_UNAVAILABLE = ClientResponse(503, headers=((b"retry-after", b"1"),))
# A fault of the proxy itself. It promises nothing about the request, as an attempt may have begun.
INTERNAL_SERVER_ERROR = ClientResponse(500)
REQUEST_TIMEOUT = ClientResponse(408)  # the request was not complete in time
