"""A load balancer for expert-parallel model groups and plain services."""

__version__ = '0.1.0'
