"""Reading a bundle file and checking it as a whole."""

from . import bundle
from . import documents
from . import findings


def read(*, path: str) -> documents.Loaded[bundle.Bundle]:
    """Read a bundle file; every fault is a finding with its place."""
    text = documents.read_file(path)
    if isinstance(text, findings.Finding):
        return documents.Loaded(value=None, findings=(text,), source=path)
    return documents.load(text=text, source=path, shape=bundle.Bundle)
