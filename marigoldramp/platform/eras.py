"""Distinguishes data from before and after a restore of the platform's store.

A store that is restored from a backup assigns the same revisions again, so
one revision can stand for two states.  Compared by revision alone, data read
before the restore can look newer than the current data, and a conditional
write can succeed on an unrelated object that has the expected revision.

The store counts its restores and sends the count, its era, with every
response.  This module combines era and revision into one version that only
grows, as the rest of the project requires of versions.
"""

from typing import Callable

from absl import logging
import msgspec

from .. import asgi
from .. import logs

ERA_HEADER = b'store-era'
#: The low bits of a version; the era is above them.
REVISION_BITS = 40
_REVISIONS_PER_ERA = 1 << REVISION_BITS
#: Keeps versions within 63 bits.
MAX_ERA_DIGITS = 6


class EraRevision(msgspec.Struct, frozen=True, kw_only=True):
    """A revision, and the number of restores before it."""

    era: int
    revision: int


def make_version(era_revision: EraRevision) -> int:
    """Return the version for an era and a revision."""
    return era_revision.era * _REVISIONS_PER_ERA + era_revision.revision


def split_version(version: int) -> EraRevision:
    """Return the era and the revision of a version."""
    return EraRevision(
        era=version // _REVISIONS_PER_ERA,
        revision=version % _REVISIONS_PER_ERA,
    )


class EraTracker:
    """Tracks the store's era and reports restores.

    :ivar current: the newest known era; 0 before one is known.
    :ivar restored_at: when the last restore was noticed, by ``clock``; minus
        infinity for none.  The first known era is not a restore.
    """

    __slots__ = ('_clock', '_has_era', '_callbacks', 'current', 'restored_at')

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._has_era = False
        self._callbacks: list[Callable[[], None]] = []
        self.current = 0
        self.restored_at = float('-inf')

    def on_restore(self, callback: Callable[[], None]) -> None:
        """Register a callback to call whenever a restore is noticed."""
        self._callbacks.append(callback)

    def check_headers(self, headers: asgi.Headers) -> str:
        """Update the era from a response; return why to reject it, or ''.

        A response of an older era was sent before the restore.  A store that
        sends its era does so in every response, so a response without a valid
        era is from another server.
        """
        values = [
            value for name, value in headers if name.lower() == ERA_HEADER
        ]
        if not values and not self._has_era:
            return ''
        era = _parse_era(values)
        if era is None:
            return self._reject('missing or invalid era', values)
        if era < self.current:
            return self._reject('store restored since', values)
        if era > self.current or not self._has_era:
            self._set_era(era)
        return ''

    def observe(self, era: int) -> None:
        """Update the era from another gateway that read it from the store.

        Most gateways send the store no requests as long as others read it for
        them.
        """
        if era > self.current:
            self._set_era(era)

    def _set_era(self, era: int) -> None:
        before = self.current
        had_era = self._has_era
        self.current = era
        self._has_era = True
        if not had_era:
            return
        self.restored_at = self._clock()
        logging.warning(
            'store restored', extra=logs.fields(before=before, era=era)
        )
        for callback in self._callbacks:
            callback()

    def _reject(self, detail: str, values: list[bytes]) -> str:
        logging.warning(
            'store response rejected',
            extra=logs.fields(
                detail=detail,
                named=b', '.join(values).decode('latin-1'),
                era=self.current,
            ),
        )
        return detail


def _parse_era(values: list[bytes]) -> int | None:
    """Return the era in the values of its header, or None if invalid."""
    if len(values) != 1 or not values[0].isdigit():
        return None
    if len(values[0]) > MAX_ERA_DIGITS:
        return None
    return int(values[0])
