"""Interface of the random generator handed to the decisions."""

from collections.abc import MutableSequence, Sequence
from typing import Protocol, TypeVar

T = TypeVar("T")


class Random(Protocol):
    """The part of `random.Random` that the decisions use."""

    def random(self) -> float:
        """Returns a float in [0, 1)."""

    def uniform(self, a: float, b: float) -> float:
        """Returns a float between a and b."""

    def choice(self, seq: Sequence[T]) -> T:
        """Returns one element of a non-empty sequence."""

    def shuffle(self, x: MutableSequence[T]) -> None:
        """Puts the elements in random order, in place."""

    def sample(self, population: Sequence[T], k: int) -> list[T]:
        """Returns k distinct elements."""
