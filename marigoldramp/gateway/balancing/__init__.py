"""The choice of an endpoint for a request."""
