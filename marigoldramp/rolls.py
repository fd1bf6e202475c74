"""Bringing a signed bundle into force.

The object ``bundle/current`` names the bundle in force.  It is replaced by a
conditional write, so that of two operators who race exactly one wins, and it
carries the nonce of the roll that wrote it and of the roll that it replaced.
With these two a roller whose reply was lost tells its own write, also after
somebody else has replaced it.
"""

import dataclasses

import msgspec

from . import audit
from . import manifests
from . import operations
from . import proposals
from . import signatures
from . import steps
from . import store as store_module
from . import store_retries

Refused = operations.Refused
PlatformAway = operations.PlatformAway
OutcomeUncertain = operations.OutcomeUncertain


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Rolled:
    """The bundle came into force.

    :ivar replaced_by: number of a newer bundle that replaced it since, or 0.
    :ivar noted: the audit trail says so as well.
    """

    manifest: manifests.Manifest
    replaced_by: int = 0
    noted: bool = True


Outcome = Rolled | Refused | PlatformAway | OutcomeUncertain


async def roll(
    operator: operations.Operations,
    *,
    digest: str,
    nonce: str = '',
) -> Outcome:
    """Bring a signed proposal into force.

    :param nonce: recognises the own write; made here if not given.
    """
    proposal = await proposals.read_proposal(operator, digest=digest)
    if not isinstance(proposal, manifests.Manifest):
        return proposal
    sign_offs = await proposals.read_sign_offs(operator, digest=digest)
    if isinstance(sign_offs, PlatformAway):
        return sign_offs
    current = await operator.read_current()
    if not isinstance(current, operations.Current):
        return current
    manifest = msgspec.structs.replace(
        proposal,
        author=operator.operator,
        rolled_at=operator.wall(),
        nonce=nonce or operations.make_nonce(),
        replaces=current.nonce,
        sign_offs=sign_offs,
    )
    refusal = _check(operator, manifest, current)
    if refusal is not None:
        await operator.note(audit.Action.REFUSED, manifest, refusal.detail)
        return refusal
    if not await operator.note(audit.Action.ROLL_STARTED, manifest):
        return PlatformAway(
            detail='the audit trail cannot be written; the bundle was not '
            'rolled'
        )
    outcome = await _replace(operator, manifest, current)
    return await _note_outcome(operator, manifest, outcome)


def _check(
    operator: operations.Operations,
    manifest: manifests.Manifest,
    current: operations.Current,
) -> Refused | None:
    if manifest.number <= current.number:
        return Refused(
            detail=f'bundle {current.number} is in force; bundle '
            f'{manifest.number} is not newer'
        )
    verdict = signatures.check(manifest=manifest, security=operator.security)
    if isinstance(verdict, signatures.Rejected):
        return Refused(detail=verdict.reason)
    return None


async def _replace(
    operator: operations.Operations,
    manifest: manifests.Manifest,
    current: operations.Current,
) -> Outcome:
    result = await operator.store.write(
        key=manifests.CURRENT,
        value=manifests.encode(manifest),
        expected=current.version,
    )
    match result:
        case store_module.Written():
            where = f'{manifest.number}'
            await steps.reach(steps.Step.BUNDLE_WRITTEN, where)
            return Rolled(manifest=manifest)
        case store_module.Unavailable():
            return PlatformAway(
                detail=f'{result.detail}; the bundle was not rolled'
            )
        case store_module.Uncertain():
            return OutcomeUncertain(
                detail=f'{result.detail}; bundle {manifest.number} may be in '
                'force or come into force; look at the history before '
                'rolling again'
            )
        case store_retries.Taken():
            return _explain(manifest, result)


def _explain(
    manifest: manifests.Manifest, taken: store_retries.Taken
) -> Outcome:
    """Say what it means that another roll stands where this one was to go."""
    theirs = None
    if isinstance(taken.found, store_module.Stored):
        theirs = manifests.decode(taken.found.value)
    if not isinstance(theirs, manifests.Manifest):
        if taken.uncertain:
            return OutcomeUncertain(
                detail='another roll was under way, and the bundle in force '
                'cannot be read'
            )
        return Refused(detail='another operator rolled a bundle meanwhile')
    if theirs.replaces == manifest.nonce:
        return Rolled(manifest=manifest, replaced_by=theirs.number)
    if taken.uncertain and theirs.replaces != manifest.replaces:
        # Two or more rolls came after; this one may have been among them.
        return OutcomeUncertain(
            detail=f'bundle {theirs.number} by {theirs.author} is in force; '
            f'bundle {manifest.number} may have been before it'
        )
    return Refused(
        detail=f'{theirs.author} rolled bundle {theirs.number} meanwhile; '
        f'bundle {manifest.number} was not rolled: look at the difference '
        'again'
    )


async def _note_outcome(
    operator: operations.Operations,
    manifest: manifests.Manifest,
    outcome: Outcome,
) -> Outcome:
    match outcome:
        case Rolled():
            noted = await operator.note(audit.Action.ROLLED, manifest)
            return dataclasses.replace(outcome, noted=noted)
        case OutcomeUncertain():
            action = audit.Action.UNCERTAIN
        case _:
            action = audit.Action.REFUSED
    await operator.note(action, manifest, outcome.detail)
    return outcome
