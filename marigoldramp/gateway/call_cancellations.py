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
    """Cancel scopes of the requests being served, by fingerprint."""

    __slots__ = ('_calls',)

    def __init__(self) -> None:
        self._calls: dict[str, dict[int, _TrackedCall]] = {}

    @contextlib.contextmanager
    def track(self, call: calls.Call) -> Iterator[anyio.CancelScope]:
        """Serve a call in a scope that :meth:`cancel` cancels."""
        tracked = self._calls.setdefault(call.fingerprint, {})
        key = id(call)
        with anyio.CancelScope() as scope:
            tracked[key] = _TrackedCall(call=call, scope=scope)
            try:
                yield scope
            finally:
                del tracked[key]
                if not tracked:
                    self._calls.pop(call.fingerprint, None)

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
