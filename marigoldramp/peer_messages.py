"""What the two ends of a request between peers have in common."""

import dataclasses
from typing import Any

from . import peer_seals
from . import peers_pb2

SERVICE = 'marigoldramp.Peers'
MOST_MESSAGE_BYTES = 4 * 1024 * 1024
OPTIONS = (
    ('grpc.max_receive_message_length', MOST_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MOST_MESSAGE_BYTES),
    ('grpc.so_reuseport', 0),
    # Channels of one process to one address share a connection by default.
    # A probe over a connection that has gone silent would then prove the
    # peer dead although it lives; each channel gets its own connection.
    ('grpc.use_local_subchannel_pool', 1),
    # Waits between attempts to connect; a restarted peer is found again
    # within one heartbeat instead of after a minute.
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 500),
    ('grpc.enable_http_proxy', 0),
)

ProbeRequest = peers_pb2.ProbeRequest
ProbeReply = peers_pb2.ProbeReply
ManifestRequest = peers_pb2.ManifestRequest
ManifestReply = peers_pb2.ManifestReply
PartsRequest = peers_pb2.PartsRequest
Part = peers_pb2.Part
MapOrder = peers_pb2.MapOrder
MapReply = peers_pb2.MapReply
HandOverRequest = peers_pb2.HandOverRequest
HandOverReply = peers_pb2.HandOverReply
Record = peers_pb2.Record


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Unreachable:
    """No reply that can be believed.

    :ivar refusal: why the peer did not believe the request, which then had
        no effect; ``None`` leaves open whether it took effect.
    """

    detail: str
    refusal: peer_seals.Refusal | None = None


def find_seal(metadata: Any) -> bytes:
    """Return the seal among a request's or a reply's metadata."""
    for key, value in metadata or ():
        if key == peer_seals.METADATA_KEY and isinstance(value, bytes):
            return value
    return b''


def target_of(host: str, port: int) -> str:
    """Return the address in the form that gRPC takes."""
    return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'
