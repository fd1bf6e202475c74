"""The configuration in force, and how sure we are that it is the newest.

A watch that says nothing proves nothing: it may have gone silent.  Each entry
therefore keeps the time at which its version was known to be the newest.
That time comes from a read of the store, counted from when the read was
*sent*, or from a peer that answers a question of ours, counted from when the
question was sent.  A process that was frozen in between then finds its
knowledge old, and not new.
"""

import abc
import math
from typing import Callable

from absl import logging

from .. import logs
from .. import store
from . import deployment
from . import routes


class ConfigurationSource(abc.ABC):
    """Where the operator's configuration is kept."""

    @abc.abstractmethod
    async def fetch(self) -> bytes | store.Absent | store.Unavailable:
        """Return the newest document; never an older one."""

    @abc.abstractmethod
    def decode(self, document: bytes) -> deployment.Configuration:
        """Return the configuration in a document.

        :raises ValueError: the document cannot be understood.
        """


class ActiveConfiguration:
    """The configuration in force; it is only ever replaced by a newer one.

    :ivar document: the operator's text of it.
    :ivar confirmed_at: when it was known to be the newest.
    """

    __slots__ = (
        'current',
        'document',
        'routes',
        'confirmed_at',
        '_source',
        '_callbacks',
    )

    def __init__(self, *, source: ConfigurationSource) -> None:
        self.current: deployment.Configuration | None = None
        self.document = b''
        self.routes = routes.RouteTable(routes=())
        self.confirmed_at = -math.inf
        self._source = source
        self._callbacks: list[Callable[[], None]] = []

    @property
    def version(self) -> int:
        """The version in force, 0 for none."""
        return 0 if self.current is None else self.current.version

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call whenever another version has come into force."""
        self._callbacks.append(callback)

    def take(self, document: bytes, *, newest_at: float) -> bool:
        """Take a document that was the newest at a time.

        :returns: whether it is in force now.
        """
        if document == self.document and self.current is not None:
            self._note(newest_at)
            return True
        try:
            found = self._source.decode(document)
        except ValueError as error:
            logging.error(
                'configuration refused',
                extra=logs.fields(detail=str(error), kept=self.version),
            )
            return False
        return self._put(found, document, newest_at)

    def confirm(self, *, version: int, newest_at: float) -> None:
        """Learn that a version was the newest at a time."""
        if self.current is not None and version == self.current.version:
            self._note(newest_at)

    def _put(
        self,
        found: deployment.Configuration,
        document: bytes,
        newest_at: float,
    ) -> bool:
        if self.current is not None and found.version <= self.version:
            logging.warning(
                'older configuration ignored',
                extra=logs.fields(found=found.version, kept=self.version),
            )
            return False
        before = self.version
        self.current = found
        self.document = document
        self.routes = routes.RouteTable(routes=found.routes)
        # Whatever the older version was known to hold, a newer one holds too.
        self._note(newest_at)
        logging.info(
            'configuration in force',
            extra=logs.fields(
                version=found.version,
                before=before,
                routes=len(found.routes),
                customers=len(found.customers),
            ),
        )
        for callback in self._callbacks:
            callback()
        return True

    def _note(self, newest_at: float) -> None:
        self.confirmed_at = max(self.confirmed_at, newest_at)
