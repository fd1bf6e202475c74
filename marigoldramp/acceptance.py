"""Decides whether a bundle may come into force, and keeps the one that is.

A bundle comes into force only if its number is higher, enough operators have
signed it and every part matches its digest and can be read.  Otherwise the
old one stays in force and a finding says why.
"""

import dataclasses
import math
from typing import Callable

import anyio

from . import bundle
from . import bundle_findings
from . import bundle_sources
from . import customers
from . import manifests
from . import settings as settings_module
from . import signatures
from . import steps

#: Seconds until a bundle that was kept out is looked at again when the same
#: peers go on to show it.
RETRY_REFUSED = 30.0
#: Refusals remembered; beyond them all are looked at again.
MOST_REFUSED = 256

OnAccepted = Callable[[bundle.Bundle], None]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Refused:
    """A bundle that was kept out, and the source that gave it.

    By source, because a peer may hold damaged sign-offs of a good bundle.
    """

    number: int
    source: str


class Acceptance:
    """The bundle in force at one process, and the only way to replace it.

    :param on_accepted: told of each bundle that has come into force.
    :ivar in_force: the bundle without its customers.
    :ivar contents: compressed contents of its parts by digest.
    :ivar customers: its customers, decoded one by one.
    """

    def __init__(
        self,
        *,
        instance: str,
        security: settings_module.Security,
        clock: Callable[[], float],
        on_accepted: OnAccepted,
    ) -> None:
        self.in_force: bundle.Bundle | None = None
        self.manifest: manifests.Manifest | None = None
        self.contents: bundle_sources.Contents = {}
        self.customers = customers.CustomerTable()
        self.findings = bundle_findings.Findings()
        self._instance = instance
        self._security = security
        self._clock = clock
        self._on_accepted = on_accepted
        self._fetched: bundle_sources.Contents = {}
        self._refused_until: dict[_Refused, float] = {}
        self._lock = anyio.Lock()

    @property
    def number(self) -> int:
        """The number in force, 0 for none."""
        return self.manifest.number if self.manifest else 0

    def is_refused(self, number: int, instance: str) -> bool:
        """Return whether a peer's bundle was kept out a moment ago."""
        source = bundle_sources.name_peer(instance)
        refused = _Refused(number=number, source=source)
        return self._clock() < self._refused_until.get(refused, -math.inf)

    async def take(self, text: bytes, source: bundle_sources.Source) -> bool:
        """Bring the bundle of a manifest into force if it may be.

        :returns: false if its parts could not all be had, so that the same
            manifest is worth another try.
        """
        async with self._lock:
            manifest = manifests.decode(text)
            if isinstance(manifest, manifests.Broken):
                self.findings.add(source.name, 0, manifest.detail)
                return True
            if not self._is_wanted(manifest, source):
                return True
            await steps.reach(steps.Step.BUNDLE_SEEN, self._instance)
            if not await self._fetch(manifest, source):
                return False
            await steps.reach(steps.Step.BUNDLE_FETCHED, self._instance)
            await self._bring_into_force(manifest, source)
            return True

    def _is_wanted(
        self, manifest: manifests.Manifest, source: bundle_sources.Source
    ) -> bool:
        """Return whether the number is higher and the sign-offs suffice.

        A store that was set back, or a peer's late reply, can show an older
        bundle.  Taken, it would undo decisions that are already in force.
        """
        number = manifest.number
        if number < self.number:
            message = f'older than {self.number}, which is in force'
            self.findings.add(source.name, number, message)
            return False
        if self.manifest is not None and number == self.number:
            if manifest.digest != self.manifest.digest:
                message = 'differs from the one of the same number in force'
                self.findings.add(source.name, number, message)
            return False
        verdict = signatures.check(manifest=manifest, security=self._security)
        if isinstance(verdict, signatures.Rejected):
            self._refuse(number, source, verdict.reason)
            return False
        return True

    async def _fetch(
        self, manifest: manifests.Manifest, source: bundle_sources.Source
    ) -> bool:
        """Fetch the missing parts; what was fetched before is kept."""
        names = {ref.digest for ref in manifest.parts}
        self._fetched = {
            digest: content
            for digest, content in self._fetched.items()
            if digest in names
        }
        missing = manifests.find_missing(
            manifest=manifest, have=self.contents.keys() | self._fetched
        )
        if missing:
            contents = await source.fetch(missing)
            self._fetched.update(self._check_parts(manifest, source, contents))
        return names <= self.contents.keys() | self._fetched.keys()

    def _check_parts(
        self,
        manifest: manifests.Manifest,
        source: bundle_sources.Source,
        contents: bundle_sources.Contents,
    ) -> bundle_sources.Contents:
        """Return those contents that match their digests.

        The others were damaged at this source, or on the way; another
        source may have them whole.
        """
        checked = {}
        for ref in manifest.parts:
            content = contents.get(ref.digest)
            if content is None:
                continue
            opened = manifests.open_part(ref=ref, content=content)
            if isinstance(opened, manifests.Broken):
                self.findings.add(source.name, manifest.number, opened.detail)
            else:
                checked[ref.digest] = content
        return checked

    async def _bring_into_force(
        self, manifest: manifests.Manifest, source: bundle_sources.Source
    ) -> None:
        contents = {
            ref.digest: self.contents.get(ref.digest)
            or self._fetched[ref.digest]
            for ref in manifest.parts
        }
        self._fetched = {}
        general = _read_general(manifest, contents)
        if isinstance(general, manifests.Broken):
            self._refuse(manifest.number, source, general.detail)
            return
        table = await customers.build(
            manifest=manifest, parts=contents, before=self.customers
        )
        if isinstance(table, manifests.Broken):
            self._refuse(manifest.number, source, table.detail)
            return
        self.manifest = manifest
        self.in_force = general
        self.contents = contents
        self.customers = table
        self._refused_until.clear()
        self.findings.clear()
        await steps.reach(steps.Step.BUNDLE_IN_FORCE, self._instance)
        self._on_accepted(general)

    def _refuse(
        self, number: int, source: bundle_sources.Source, message: str
    ) -> None:
        """Keep a bundle out, and do not look at it again for a while."""
        self.findings.add(source.name, number, message)
        if len(self._refused_until) >= MOST_REFUSED:
            self._refused_until.clear()
        refused = _Refused(number=number, source=source.name)
        self._refused_until[refused] = self._clock() + RETRY_REFUSED


def _read_general(
    manifest: manifests.Manifest, contents: bundle_sources.Contents
) -> bundle.Bundle | manifests.Broken:
    for ref in manifest.parts:
        if ref.name != manifests.GENERAL:
            continue
        general = manifests.read_general(ref=ref, content=contents[ref.digest])
        if isinstance(general, manifests.Broken):
            return general
        return bundle.Bundle(
            number=manifest.number,
            note=manifest.note,
            services=general.services,
            routes=general.routes,
            groups=general.groups,
        )
    return manifests.Broken(detail='the general part is missing')
