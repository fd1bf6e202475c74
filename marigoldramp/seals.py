"""Message authentication between the system's own processes.

Every datagram, call head and order carries a keyed BLAKE2b tag.  A separate
key is derived for each use, so that a tag made for one use is worthless in
another.  Without this a stranger who reaches a port could give orders.
"""

import hashlib
import hmac

TAG_BYTES = 16
LEAST_KEY_BYTES = 16


class Sealer:
    """Seals and opens byte strings for one use of the fleet key.

    :param fleet_key: the shared secret.
    :param use: names the use; at most 16 bytes.
    """

    __slots__ = ('_key',)

    def __init__(self, *, fleet_key: bytes, use: str) -> None:
        if len(fleet_key) < LEAST_KEY_BYTES:
            raise ValueError('the fleet key is shorter than 16 bytes')
        self._key = hashlib.blake2b(
            fleet_key, digest_size=32, person=use.encode()
        ).digest()

    def tag(self, payload: bytes) -> bytes:
        """Return the tag of a payload."""
        return hashlib.blake2b(
            payload, digest_size=TAG_BYTES, key=self._key
        ).digest()

    def seal(self, payload: bytes) -> bytes:
        """Return the payload behind its tag."""
        return self.tag(payload) + payload

    def open(self, sealed: bytes) -> bytes | None:
        """Return the payload, or ``None`` if the tag does not match."""
        payload = sealed[TAG_BYTES:]
        if not hmac.compare_digest(sealed[:TAG_BYTES], self.tag(payload)):
            return None
        return payload
