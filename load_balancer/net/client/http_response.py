"""Final responses that the proxy generates itself."""

from __future__ import annotations

from load_balancer.net.driver.client_messages import ClientResponse

# No part of the request was forwarded, so the client may retry it.
SERVICE_UNAVAILABLE = ClientResponse(503, headers=((b"retry-after", b"1"),))
# Internal error of the proxy. An attempt may have begun, so the response does not allow a retry.
INTERNAL_SERVER_ERROR = ClientResponse(500)
REQUEST_TIMEOUT = ClientResponse(408)  # the request was not received completely in time
