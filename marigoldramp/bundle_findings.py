"""Findings about bundles that were kept out, for alarms and the log."""

import collections

from absl import logging

from . import findings

MOST_FINDINGS = 32


class Findings:
    """The findings since a bundle last came into force, the newest last."""

    __slots__ = ('_findings',)

    def __init__(self) -> None:
        self._findings: collections.OrderedDict[findings.Finding, None] = (
            collections.OrderedDict()
        )

    def add(self, source: str, number: int, message: str) -> None:
        """Note why a bundle of this number was kept out."""
        finding = findings.Finding(
            place=findings.Place(source=source),
            field=f'bundle {number}' if number else '',
            message=message,
        )
        if finding not in self._findings:
            logging.error('%s', finding)
        self._findings[finding] = None
        self._findings.move_to_end(finding)
        if len(self._findings) > MOST_FINDINGS:
            self._findings.popitem(last=False)

    def clear(self) -> None:
        """Forget them all: a newer bundle has come into force."""
        self._findings.clear()

    def show(self) -> tuple[findings.Finding, ...]:
        """Return the findings, the newest last."""
        return tuple(self._findings)
