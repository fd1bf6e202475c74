"""Calls of both deployments as one input for all policies of a run.

Long streamed drafts on the model runners, short urgent calls beside them on
the same runners, and short calls on the plain services.  The sizes are of
today: 16 model runners of 8 slots, 3 plain runners of 4.
"""

import dataclasses
import random as random_module

from marigoldramp import bundle

MODEL = 'model'
PLAIN = 'plain'
MODEL_RUNNERS = 16
PLAIN_RUNNERS = 3
MODEL_SLOTS = 8
PLAIN_SLOTS = 4
ENTRIES = 8
CUSTOMER_NAMES = tuple(f'customer-{one}' for one in range(10))

#: Seconds that an engine takes for one generated token.
TOKEN_SECONDS = 0.025
#: Seconds that an engine takes for one block of prompt not in its cache.
BLOCK_SECONDS = 0.02
BLOCK_BYTES = 1024
#: Prompts begin with one of so many templates of a customer.
TEMPLATES = 4
TEMPLATE_BLOCKS = 24
OWN_BLOCKS = 4


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Call:
    """One call of the input.

    :ivar at: seconds after the start at which it arrives.
    :ivar tokens: the most that the caller asks for; the router sees it.
    :ivar generated: what the engine will really generate.
    :ivar seconds: engine time besides the tokens (plain services).
    :ivar blocks: digests of the prompt's blocks.
    """

    number: int
    at: float
    entry: int
    customer: str
    service: str
    priority: bundle.Priority
    deadline: float
    tokens: int = 0
    generated: int = 0
    seconds: float = 0.0
    blocks: tuple[bytes, ...] = ()

    def work(self, *, cached: int) -> float:
        """Return engine seconds with so many leading blocks cached."""
        fresh = max(0, len(self.blocks) - cached)
        return (
            self.seconds
            + self.generated * TOKEN_SECONDS
            + fresh * BLOCK_SECONDS
        )


#: Mean engine seconds of each kind of call, half of the template cached.
DRAFT_WORK = 250 * TOKEN_SECONDS + (TEMPLATE_BLOCKS / 2 + OWN_BLOCKS) * 0.02
URGENT_WORK = 16 * TOKEN_SECONDS + 2 * BLOCK_SECONDS
PLAIN_WORK = 0.05
#: Share of the model runners' work that is urgent.
URGENT_SHARE = 0.15


def make_draft(
    *, random: random_module.Random, customer: str
) -> dict[str, object]:
    """Return the fields of a long streamed draft."""
    template = random.randrange(TEMPLATES)
    shared = [f'{customer}/{template}/{one}' for one in range(TEMPLATE_BLOCKS)]
    own = [f'{random.getrandbits(48)}' for _ in range(OWN_BLOCKS)]
    return {
        'service': MODEL,
        'priority': bundle.Priority.NORMAL,
        'deadline': 20.0,
        'tokens': 512,
        'generated': random.randint(100, 400),
        'blocks': tuple(one.encode() for one in shared + own),
    }


def make_urgent(
    *, random: random_module.Random, customer: str
) -> dict[str, object]:
    """Return the fields of a short urgent call on the model."""
    return {
        'service': MODEL,
        'priority': bundle.Priority.URGENT,
        'deadline': 2.0,
        'tokens': 32,
        'generated': random.randint(8, 24),
        'blocks': tuple(f'{random.getrandbits(48)}'.encode() for _ in '12'),
    }


def make_plain(
    *, random: random_module.Random, customer: str
) -> dict[str, object]:
    """Return the fields of a short urgent call on a plain service."""
    return {
        'service': PLAIN,
        'priority': bundle.Priority.URGENT,
        'deadline': 0.5,
        'seconds': random.uniform(0.02, 0.08),
    }


MAKERS = {'draft': make_draft, 'urgent': make_urgent, 'plain': make_plain}


def rates(load: float) -> dict[str, float]:
    """Return calls a second of each kind at a load (1.0 is capacity)."""
    model = load * MODEL_RUNNERS * MODEL_SLOTS
    plain = load * PLAIN_RUNNERS * PLAIN_SLOTS
    return {
        'draft': model * (1.0 - URGENT_SHARE) / DRAFT_WORK,
        'urgent': model * URGENT_SHARE / URGENT_WORK,
        'plain': plain / PLAIN_WORK,
    }


def generate(
    *,
    random: random_module.Random,
    load: float,
    start: float = 0.0,
    seconds: float,
    customers: tuple[str, ...] = CUSTOMER_NAMES,
    kinds: tuple[str, ...] = ('draft', 'urgent'),
) -> list[Call]:
    """Return Poisson arrivals of the kinds asked for, in order."""
    calls = []
    for kind in kinds:
        rate = rates(load)[kind]
        at = start + random.expovariate(rate)
        while at < start + seconds:
            customer = random.choice(customers)
            fields = MAKERS[kind](random=random, customer=customer)
            calls.append(
                Call(
                    number=0,
                    at=at,
                    entry=random.randrange(ENTRIES),
                    customer=customer,
                    **fields,  # type: ignore[arg-type]
                )
            )
            at += random.expovariate(rate)
    return number(calls)


def number(calls: list[Call]) -> list[Call]:
    """Return the calls in order of arrival, numbered."""
    ordered = sorted(calls, key=lambda call: call.at)
    return [
        dataclasses.replace(call, number=position)
        for position, call in enumerate(ordered)
    ]
