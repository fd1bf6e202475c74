"""The answer to "which of your addresses shall I use", as it travels."""

import msgspec

PATH = '/marigoldramp/addresses'


class EntryAddress(msgspec.Struct, frozen=True, kw_only=True):
    """Address of one entry, as a base for URLs."""

    address: str


class Addresses(msgspec.Struct, frozen=True, kw_only=True):
    """What an entry answers.

    :ivar keep_seconds: how long the answer may be kept.
    :ivar bindings: bound keys by service, each for one call.
    """

    entries: list[EntryAddress]
    keep_seconds: float
    bindings: dict[str, list[str]] = {}
