"""Translates between the platform's protocol and the gateway's types.

Only this package uses the names of the platform's protocol.  It makes no
decisions about traffic.  Where a protocol name differs from the project's
term, a comment beside it says what it holds.
"""
