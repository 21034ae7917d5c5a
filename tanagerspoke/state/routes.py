"""The routing table in force, and the choice of a service by weight."""

import collections

from tanagerspoke.protocol import randomness
from tanagerspoke.protocol import routing

# Services are chosen by smooth weighted round robin; each node starts at its
# own point of the round, so that few calls a node still add up to the weights.
_MAX_START_STEPS = 100


class _Round:
    """Smooth weighted round robin over the services of one route."""

    def __init__(
        self,
        *,
        services: tuple[routing.WeightedService, ...],
        rng: randomness.Random,
    ) -> None:
        self.services = services
        self._current = [0.0] * len(services)
        self._total = sum(part.weight for part in services)
        for _ in range(int(rng.uniform(0, _MAX_START_STEPS))):
            self.next()

    def next(self) -> str:
        """Returns the service of the next call."""
        current = self._current
        for index, part in enumerate(self.services):
            current[index] += part.weight
        best = max(range(len(current)), key=current.__getitem__)
        current[best] -= self._total
        return self.services[best].service


class RouteState:
    """Routes by host and prefix; versions only go forward.

    Attributes:
        table: the version in force, None before one is known.
    """

    def __init__(self, *, rng: randomness.Random) -> None:
        self._rng = rng
        self.table: routing.RoutingTable | None = None
        self._by_host: dict[str, list[routing.Route]] = {}
        self._rounds: dict[str, _Round] = {}

    def take(self, table: routing.RoutingTable) -> bool:
        """Puts a version in force; returns False where it is not newer."""
        if self.table is not None and table.version <= self.table.version:
            return False
        by_host = collections.defaultdict(list)
        for route in table.routes:
            by_host[route.host].append(route)
        for routes in by_host.values():
            # The longest prefix that matches wins.
            routes.sort(key=lambda route: -len(route.path_prefix))
        self._by_host = dict(by_host)
        self._rounds = {
            name: kept
            for name, kept in self._rounds.items()
            if any(
                route.name == name and route.services == kept.services
                for route in table.routes
            )
        }
        self.table = table
        return True

    def find(self, *, host: str, path: str) -> routing.Route | None:
        """Returns the route of a request, or None.

        Args:
            host: value of the `Host` header, with or without a port.
            path: request target, with or without a query.
        """
        path = path.partition("?")[0]
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def choose_service(self, route: routing.Route) -> str:
        """Returns the service of the route's next call, by weight."""
        if len(route.services) == 1:
            return route.services[0].service
        found = self._rounds.get(route.name)
        if found is None:
            found = self._rounds[route.name] = _Round(
                services=route.services, rng=self._rng
            )
        return found.next()
