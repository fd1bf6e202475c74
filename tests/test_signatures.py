"""Tests of operators' sign-offs."""

import msgspec
import pytest

from marigoldramp import bundle
from marigoldramp import manifests
from marigoldramp import settings
from marigoldramp import signatures

NAMES = ('ann', 'bob', 'carl')
PAIRS = {name: signatures.make_key_pair() for name in NAMES}
SECURITY = settings.Security(
    fleet_key='env:FLEET',
    sign_offs=2,
    operators={name: PAIRS[name].public for name in ('ann', 'bob')},
)
MANIFEST = manifests.split(whole=bundle.Bundle(number=1)).manifest


def sign(*signers, digest=MANIFEST.digest):
    """Sign as each ``name`` or ``name:owner of the key``."""
    sign_offs = []
    for signer in signers:
        name, _, owner = signer.partition(':')
        signature = signatures.sign(
            digest=digest, private=PAIRS[owner or name].private
        )
        sign_offs.append(manifests.SignOff(operator=name, signature=signature))
    return msgspec.structs.replace(MANIFEST, sign_offs=tuple(sign_offs))


@pytest.mark.parametrize(
    ('signers', 'accepted'),
    [
        (['ann', 'bob'], True),
        (['ann', 'bob', 'carl'], True),
        ([], False),
        (['ann'], False),
        (['ann', 'ann'], False),
        (['ann', 'carl'], False),
        (['ann', 'bob:carl'], False),
        (['ann', 'bob:ann'], False),
    ],
)
def test_check(signers, accepted):
    verdict = signatures.check(manifest=sign(*signers), security=SECURITY)
    assert isinstance(verdict, signatures.Accepted) == accepted


@pytest.mark.parametrize(
    'change', [{'number': 2}, {'note': 'other'}, {'parts': ()}]
)
def test_sign_offs_do_not_fit_changed_content(change):
    """Content that was changed after its sign-off is rejected.

    Symptom: a configuration in force that nobody signed.  Sequence: the
    store's object is changed, its sign-offs are kept.  Cause: the sign-offs
    are not checked against the content.
    """
    changed = msgspec.structs.replace(sign('ann', 'bob'), **change)
    verdict = signatures.check(manifest=changed, security=SECURITY)
    assert isinstance(verdict, signatures.Rejected)


@pytest.mark.parametrize('signature', ['', 'xyz', 'ab', 'ab' * 64])
def test_malformed_signature_is_rejected(signature):
    sign_off = manifests.SignOff(operator='ann', signature=signature)
    manifest = msgspec.structs.replace(MANIFEST, sign_offs=(sign_off,))
    verdict = signatures.check(manifest=manifest, security=SECURITY)
    assert isinstance(verdict, signatures.Rejected)


def test_one_key_under_two_names_counts_once():
    """Two names with one key are one person.

    Symptom: one operator rolls alone.  Sequence: a settings file names the
    key twice.  Cause: names are counted instead of keys.
    """
    public = PAIRS['ann'].public
    security = settings.Security(
        fleet_key='', sign_offs=2, operators={'ann': public, 'bob': public}
    )
    verdict = signatures.check(
        manifest=sign('ann', 'bob:ann'), security=security
    )
    assert isinstance(verdict, signatures.Rejected)
