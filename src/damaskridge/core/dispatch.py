"""Method dispatch by the type of the first argument, for frequent calls.

>>> class Machine:
...     @DispatchMethod
...     def handle(self, event: object) -> str:
...         return "unknown"
...
...     @handle.register
...     def _(self, event: int) -> str:
...         return "int"
>>> Machine().handle(1), Machine().handle("x")
('int', 'unknown')
"""

from collections.abc import Callable
from functools import singledispatch
from typing import Any, Generic, TypeVar

__all__ = ["DispatchMethod"]

ResultT = TypeVar("ResultT")
FunctionT = TypeVar("FunctionT", bound=Callable[..., Any])


class DispatchMethod(Generic[ResultT]):
    """
    A replacement for `functools.singledispatchmethod` with less overhead per call.

    The standard library's version creates a function and updates its metadata at every
    access, which took a tenth of an entry host's processor time under token streams.

    Parameters
    ----------
    default : callable
        Called for types without a registered function.
    """

    def __init__(self, default: Callable[..., ResultT]) -> None:
        self.__doc__ = default.__doc__
        self._functions = singledispatch(default)

    def register(self, function: FunctionT) -> FunctionT:
        """Register `function` for the type of its first annotated argument."""
        self._functions.register(function)
        return function

    def __get__(self, obj: Any, cls: Any = None) -> Callable[..., ResultT]:
        """Return the method bound to `obj`."""
        dispatch = self._functions.dispatch

        def call(argument: object, *args: Any) -> ResultT:
            return dispatch(argument.__class__)(obj, argument, *args)

        return call
