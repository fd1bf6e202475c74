"""Registry of plug-ins and the base class that they share.

A plug-in is a class in a module of the sibling package ``marigoldrampplug``.
It derives from one of the base classes in the kernel, and being defined
registers it under the module's name: nothing else has to list it.
"""

import abc
import importlib
import pkgutil
from typing import Any
from typing import ClassVar
from typing import Self

NAMESPACE = 'marigoldrampplug'


class UnknownPlugin(LookupError):
    """No plug-in of that kind has that name."""


class Plugin(abc.ABC):
    """Base of every plug-in kind.

    A kind is a direct subclass in the kernel, declared with ``kind=True``;
    it owns its own table.  A concrete plug-in is any further subclass and
    is registered under ``name``, by default its module's name.
    """

    name: ClassVar[str]
    plugins: ClassVar[dict[str, type['Plugin']]]

    def __init_subclass__(cls, kind: bool = False, **rest: Any) -> None:
        super().__init_subclass__(**rest)
        if kind:
            cls.plugins = {}
            return
        if 'name' not in cls.__dict__:
            cls.name = cls.__module__.rsplit('.', 1)[-1]
        cls.plugins[cls.name] = cls

    @classmethod
    def find(cls, name: str) -> type[Self]:
        """Return the plug-in class of this kind with that name.

        :raises UnknownPlugin: when there is none; the text lists them.
        """
        load()
        found = cls.plugins.get(name)
        if found is None:
            known = ', '.join(sorted(cls.plugins))
            raise UnknownPlugin(
                f'no {cls.__name__} is called {name!r}; known: {known}'
            )
        return found  # type: ignore[return-value]

    @classmethod
    def names(cls) -> list[str]:
        """Return the names of all plug-ins of this kind, sorted."""
        load()
        return sorted(cls.plugins)


def load() -> None:
    """Import every module of the plug-in package, once."""
    package = importlib.import_module(NAMESPACE)
    for module in pkgutil.iter_modules(package.__path__):
        importlib.import_module(f'{NAMESPACE}.{module.name}')
