"""Interface of the random generator that is passed to the decision logic.

Tests and benchmarks pass a generator with a fixed seed.
"""

from collections.abc import MutableSequence, Sequence
from typing import Protocol, TypeVar

T = TypeVar("T")


class Random(Protocol):
    """The methods of `random.Random` that the decision logic uses."""

    def random(self) -> float:
        """Returns a float in [0, 1)."""

    def uniform(self, a: float, b: float) -> float:
        """Returns a float between a and b."""

    def choice(self, seq: Sequence[T]) -> T:
        """Returns one element of a non-empty sequence."""

    def shuffle(self, x: MutableSequence[T]) -> None:
        """Shuffles the elements in place."""

    def sample(self, population: Sequence[T], k: int) -> list[T]:
        """Returns k distinct elements."""
