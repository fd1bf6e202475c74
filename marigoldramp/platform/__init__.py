"""Translates between the platform's protocol and the gateway's types.

Only this package uses the names of the platform's protocol.  It makes no
decisions about traffic.  Where a name of the protocol is misleading, a
comment beside it says what it holds.
"""
