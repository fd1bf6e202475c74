"""A bounded memory of request nonces, so that no request is taken twice."""

import collections
from typing import Callable


class ReplayWindow:
    """Remembers the nonces of the last ``seconds`` seconds.

    :param seconds: how long a nonce is remembered; the caller refuses
        requests that are older than half of it, since a nonce made by a
        clock that is ahead stays valid longer.
    :param most: most nonces remembered.  A full window refuses new ones:
        forgetting one early would let its request be replayed.
    :param clock: monotonic clock in seconds.
    """

    __slots__ = ('_clock', '_most', '_nonces', '_seconds')

    def __init__(
        self, *, seconds: float, most: int, clock: Callable[[], float]
    ) -> None:
        self._seconds = seconds
        self._most = most
        self._clock = clock
        self._nonces: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )

    def take(self, nonce: bytes) -> bool:
        """Return whether the nonce is new, and remember it."""
        self._forget()
        if nonce in self._nonces or len(self._nonces) >= self._most:
            return False
        self._nonces[nonce] = self._clock()
        return True

    def _forget(self) -> None:
        before = self._clock() - self._seconds
        while self._nonces:
            nonce, taken_at = next(iter(self._nonces.items()))
            if taken_at > before:
                return
            del self._nonces[nonce]
