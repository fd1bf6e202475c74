"""What one gateway learns of an endpoint and all gateways act on."""
