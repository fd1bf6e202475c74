"""The platform's object API as the program uses it.

A store answers each call with a value: the result, or a sentinel that says
why there is none.  ``Uncertain`` matters most: a conditional write whose
reply was lost may have taken effect, so its writer has to read back and
recognise its own write before it claims anything.
"""

import abc
from typing import Callable

import msgspec

from . import plugins


class Key(msgspec.Struct, frozen=True, kw_only=True):
    """Name of an object: its kind and its name within the kind."""

    kind: str
    name: str

    def __str__(self) -> str:
        return f'{self.kind}/{self.name}'


class Stored(msgspec.Struct, frozen=True, kw_only=True):
    """An object as read: its value and the version that a write names."""

    key: Key
    version: int
    value: bytes


class Absent(msgspec.Struct, frozen=True, kw_only=True):
    """There is no such object."""

    key: Key


class Unavailable(msgspec.Struct, frozen=True, kw_only=True):
    """The store did not do what was asked; nothing has changed."""

    detail: str


class Uncertain(msgspec.Struct, frozen=True, kw_only=True):
    """No reply came to a write, which may or may not have taken effect."""

    detail: str


class Conflict(msgspec.Struct, frozen=True, kw_only=True):
    """The object is not at the version that the write expected."""

    key: Key


class Written(msgspec.Struct, frozen=True, kw_only=True):
    """The write took effect and gave the object this version."""

    key: Key
    version: int


class Listing(msgspec.Struct, frozen=True, kw_only=True):
    """Objects of one kind, and the version to watch from."""

    objects: tuple[Stored, ...]
    version: int


class Instance(msgspec.Struct, frozen=True, kw_only=True):
    """One row of the platform's instance list.

    :ivar role: ``entry`` or ``endpoint``.
    :ivar service: the service that an endpoint runs, empty for an entry.
    :ivar group: the rank group of an endpoint, empty for none.
    :ivar call_port: where calls arrive (HTTP).
    :ivar control_port: where orders and bundles are exchanged (gRPC).
    :ivar datagram_port: where heartbeats arrive (UDP).
    :ivar leaving: the platform has planned this instance's stop.
    """

    name: str
    role: str
    data_centre: str
    host: str
    call_port: int
    control_port: int
    datagram_port: int
    service: str = ''
    group: str = ''
    leaving: bool = False


class Instances(msgspec.Struct, frozen=True, kw_only=True):
    """The instance list as the platform showed it; it lags."""

    instances: tuple[Instance, ...]


#: Passed as ``expected`` to create an object that must not exist yet.
CREATE = 0


class PlatformStore(plugins.Plugin, kind=True):
    """Kind of plug-in that reaches the platform's object API."""

    @abc.abstractmethod
    async def read(self, *, key: Key) -> Stored | Absent | Unavailable:
        """Read one object."""

    @abc.abstractmethod
    async def write(
        self, *, key: Key, value: bytes, expected: int
    ) -> Written | Conflict | Unavailable | Uncertain:
        """Write if the object is at version ``expected`` (or ``CREATE``)."""

    @abc.abstractmethod
    async def delete(
        self, *, key: Key, expected: int
    ) -> Written | Conflict | Unavailable | Uncertain:
        """Delete the object if it is at version ``expected``."""

    @abc.abstractmethod
    async def list_objects(self, *, kind: str) -> Listing | Unavailable:
        """List the objects of a kind."""

    @abc.abstractmethod
    async def watch(
        self, *, kind: str, after: int, seconds: float
    ) -> Listing | Unavailable:
        """Wait until an object of the kind is newer than ``after``.

        The listing holds only what changed and is empty when ``seconds``
        passed without a change.
        """

    @abc.abstractmethod
    async def list_instances(self) -> Instances | Unavailable:
        """Return the instance list."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Release connections."""

    def era(self) -> int:
        """Return how often the store was restored from a copy, if told.

        What it had acknowledged shortly before is gone then.  Versions grow
        all the same, and none of before is one that a write can expect.
        """
        return 0

    def hear_era(self, era: int) -> None:
        """Learn from another process how often it was restored."""

    def restored_at(self) -> float:
        """Return when we last heard that it was, by the boot-time clock."""
        return float('-inf')

    def on_restore(self, callback: Callable[[], None]) -> None:
        """Call whenever we hear that the store was restored."""
