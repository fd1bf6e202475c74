"""Plug-ins of marigoldramp, one module each; importing one registers it."""
