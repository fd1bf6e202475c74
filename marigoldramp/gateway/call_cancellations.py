"""Takes back requests that are on their way when they become blocked.

Copies of one request can wait for a place here, or in an endpoint's own queue,
when the second endpoint ends under it.  Each would end another one as soon as
it is begun.
"""

import contextlib
from typing import Iterator

import anyio

from . import calls


class CallCancellations:
    """The requests that are being served, by fingerprint."""

    __slots__ = ('_calls',)

    def __init__(self) -> None:
        self._calls: dict[str, dict[int, _Held]] = {}

    @contextlib.contextmanager
    def track(self, call: calls.Call) -> Iterator[anyio.CancelScope]:
        """Serve a call in a scope that is cancelled when it is taken back."""
        held = self._calls.setdefault(call.fingerprint, {})
        key = id(call)
        with anyio.CancelScope() as scope:
            held[key] = _Held(call=call, scope=scope)
            try:
                yield scope
            finally:
                del held[key]
                if not held:
                    self._calls.pop(call.fingerprint, None)

    def cancel(self, fingerprint: str) -> None:
        """Take back all requests with a fingerprint that have no answer yet.

        An answer that has been begun is not cut off: an endpoint makes it.
        """
        for held in self._calls.get(fingerprint, {}).values():
            if not held.call.exchange.begun:
                held.scope.cancel()


class _Held:
    """A call and the scope in which it is served."""

    __slots__ = ('call', 'scope')

    def __init__(self, *, call: calls.Call, scope: anyio.CancelScope) -> None:
        self.call = call
        self.scope = scope
