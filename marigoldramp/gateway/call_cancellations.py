"""Cancels requests that are already being served when they become blocked.

A request is blocked when a second endpoint process ends while running it.
Copies of it may then be queued in this gateway or at an endpoint, and each
would end another endpoint as soon as it starts.
"""

import contextlib
from typing import Iterator

import anyio

from . import calls


class CallCancellations:
    """Cancel scopes of the requests being served.

    They are found by the fingerprint of the request and by those of the parts
    of its prompt.
    """

    __slots__ = ('_calls',)

    def __init__(self) -> None:
        self._calls: dict[str, dict[int, _TrackedCall]] = {}

    @contextlib.contextmanager
    def track(self, call: calls.Call) -> Iterator[anyio.CancelScope]:
        """Serve a call in a scope that :meth:`cancel` cancels."""
        names = (call.fingerprint, *call.parts)
        key = id(call)
        with anyio.CancelScope() as scope:
            tracked = _TrackedCall(call=call, scope=scope)
            for name in names:
                self._calls.setdefault(name, {})[key] = tracked
            try:
                yield scope
            finally:
                for name in names:
                    self._forget(name, key)

    def _forget(self, fingerprint: str, key: int) -> None:
        tracked = self._calls[fingerprint]
        del tracked[key]
        if not tracked:
            del self._calls[fingerprint]

    def cancel(self, fingerprint: str) -> None:
        """Cancel all requests with a fingerprint that have no response yet.

        A response that has begun is not cut off, as an endpoint is already
        producing it.
        """
        for tracked in self._calls.get(fingerprint, {}).values():
            if not tracked.call.exchange.begun:
                tracked.scope.cancel()


class _TrackedCall:
    """A call and the cancel scope in which it is served."""

    __slots__ = ('call', 'scope')

    def __init__(self, *, call: calls.Call, scope: anyio.CancelScope) -> None:
        self.call = call
        self.scope = scope
