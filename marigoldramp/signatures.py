"""Operators' sign-offs: Ed25519 signatures over a manifest's digest."""

import dataclasses

from cryptography import exceptions
from cryptography.hazmat.primitives.asymmetric import ed25519

from . import manifests
from . import settings

_CONTEXT = b'marigoldramp bundle '


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Accepted:
    """Enough known operators have signed this very content."""

    operators: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Rejected:
    """The content must not come into force."""

    reason: str


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class KeyPair:
    """An operator's keys, hexadecimal."""

    private: str
    public: str


def make_key_pair() -> KeyPair:
    """Return a new key pair for an operator."""
    private = ed25519.Ed25519PrivateKey.generate()
    return KeyPair(
        private=private.private_bytes_raw().hex(),
        public=private.public_key().public_bytes_raw().hex(),
    )


def sign(*, digest: str, private: str) -> str:
    """Return the hexadecimal signature over a manifest's digest.

    :raises ValueError: when the private key is malformed.
    """
    key = ed25519.Ed25519PrivateKey.from_private_bytes(bytes.fromhex(private))
    return key.sign(_CONTEXT + digest.encode()).hex()


def check(
    *, manifest: manifests.Manifest, security: settings.Security
) -> Accepted | Rejected:
    """Check a manifest's sign-offs against the operators of the settings.

    Sign-offs by one key count once, whatever names stand beside them; one
    that does not match the digest is a reason to reject, as somebody has
    changed the content.
    """
    digest = manifest.digest
    signers: dict[str, str] = {}
    for one in manifest.sign_offs:
        public = security.operators.get(one.operator)
        if public is None:
            continue
        if not verify(digest=digest, signature=one.signature, public=public):
            return Rejected(
                reason=f'the sign-off of {one.operator} does not match'
            )
        signers[public.lower()] = one.operator
    if len(signers) < security.sign_offs:
        return Rejected(
            reason=f'{len(signers)} of {security.sign_offs} sign-offs'
        )
    return Accepted(operators=tuple(sorted(signers.values())))


def verify(*, digest: str, signature: str, public: str) -> bool:
    """Whether a signature over a digest is by that public key."""
    try:
        key = ed25519.Ed25519PublicKey.from_public_bytes(bytes.fromhex(public))
        key.verify(bytes.fromhex(signature), _CONTEXT + digest.encode())
    except (ValueError, exceptions.InvalidSignature):
        return False
    return True
