"""Endpoint kind for plain HTTP services: nothing beyond HTTP itself."""

from marigoldramp import endpoint_kinds


class PlainService(endpoint_kinds.EndpointKind):
    """A service whose answers are whole when HTTP says so."""
