"""Requests between the system's own processes that must be answered.

The messages are those of ``peers.proto``, carried by gRPC.  This module
gathers the names that other modules use.
"""

from . import peer_client
from . import peer_messages
from . import peer_server

Client = peer_client.Client
Handlers = peer_server.Handlers
Server = peer_server.Server
Unreachable = peer_messages.Unreachable

ProbeReply = peer_messages.ProbeReply
ManifestReply = peer_messages.ManifestReply
Part = peer_messages.Part
MapOrder = peer_messages.MapOrder
MapReply = peer_messages.MapReply
HandOverRequest = peer_messages.HandOverRequest
HandOverReply = peer_messages.HandOverReply
Record = peer_messages.Record
