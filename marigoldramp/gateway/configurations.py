"""The configuration in force, and when it was last known to be the newest.

A watch without events proves nothing, as its connection may have failed.  Each
gateway therefore keeps the time at which its version was known to be the
newest.  That time counts from when the read of the store, or the report that a
peer echoes, was *sent*: a process that was frozen before it saw the answer
finds its confirmation old.
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
    """The place where the operator's configuration is stored."""

    @abc.abstractmethod
    async def fetch(self) -> bytes | store.Absent | store.Unavailable:
        """Return the newest document, never an older one."""

    @abc.abstractmethod
    def decode(self, document: bytes) -> deployment.Configuration:
        """Return the configuration in a document.

        :raises ValueError: the document cannot be understood.
        """


class ActiveConfiguration:
    """The configuration in force, which is replaced only by a newer version.

    :ivar current: the decoded configuration, ``None`` before the first one.
    :ivar document: its text as the operator wrote it.
    :ivar routes: its routes, prepared for lookups.
    :ivar confirmed_at: when it was last known to be the newest.
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
        """Return the version in force, 0 for none."""
        return 0 if self.current is None else self.current.version

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call a function whenever a new version comes into force."""
        self._callbacks.append(callback)

    def apply(self, document: bytes, *, newest_at: float) -> bool:
        """Put a document into force if its version is newer.

        A document that is in force already is confirmed.

        :param newest_at: when it was the newest document.
        :returns: whether it is in force now.
        """
        if document == self.document and self.current is not None:
            self._note_confirmation(newest_at)
            return True
        try:
            found = self._source.decode(document)
        except ValueError as error:
            logging.error(
                'configuration refused',
                extra=logs.fields(detail=str(error), kept=self.version),
            )
            return False
        return self._activate(found, document, newest_at)

    def confirm(self, *, version: int, newest_at: float) -> None:
        """Record that a version was the newest at a time."""
        if self.current is not None and version == self.current.version:
            self._note_confirmation(newest_at)

    def _activate(
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
        # The older version's confirmation also counts for the newer one.
        self._note_confirmation(newest_at)
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

    def _note_confirmation(self, newest_at: float) -> None:
        self.confirmed_at = max(self.confirmed_at, newest_at)
