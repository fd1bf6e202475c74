"""Types of bounded numbers in settings and bundles.

Each carries its bound twice: for msgspec, which every process uses, and for
pydantic, which is loaded only to list the faults of a document, as it takes
11 MB of memory.  ``test_documents`` checks that the two agree.
"""

from typing import Annotated

import annotated_types
import msgspec

PositiveInt = Annotated[int, msgspec.Meta(gt=0), annotated_types.Gt(0)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0), annotated_types.Ge(0)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0), annotated_types.Gt(0)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0), annotated_types.Ge(0)]
#: A fraction of a whole.
Share = Annotated[
    float,
    msgspec.Meta(ge=0.0, le=1.0),
    annotated_types.Ge(0.0),
    annotated_types.Le(1.0),
]
#: The largest load over the mean, hence never below one.
Skew = Annotated[float, msgspec.Meta(ge=1.0), annotated_types.Ge(1.0)]
#: A TCP or UDP port; 0 lets the system pick one.
Port = Annotated[
    int,
    msgspec.Meta(ge=0, le=65535),
    annotated_types.Ge(0),
    annotated_types.Le(65535),
]
