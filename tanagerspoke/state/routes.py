"""The active routing table, and the choice of a service by weight."""

import collections

from tanagerspoke.protocol import randomness
from tanagerspoke.protocol import routing

# Each node starts its round robin at a random position. Otherwise nodes with
# few calls would all choose the same first services, and the shares over all
# nodes would not follow the weights.
_MAX_START_STEPS = 100


class _WeightedRoundRobin:
    """Smooth weighted round robin over the services of one route."""

    def __init__(
        self,
        *,
        services: tuple[routing.WeightedService, ...],
        rng: randomness.Random,
    ) -> None:
        self.services = services
        self._scores = [0.0] * len(services)
        self._total_weight = sum(weighted.weight for weighted in services)
        for _ in range(int(rng.uniform(0, _MAX_START_STEPS))):
            self.next()

    def next(self) -> str:
        """Returns the service of the next call."""
        scores = self._scores
        for index, weighted in enumerate(self.services):
            scores[index] += weighted.weight
        best = max(range(len(scores)), key=scores.__getitem__)
        scores[best] -= self._total_weight
        return self.services[best].service


class RouteState:
    """Finds routes by host and path prefix.

    Attributes:
        table: the active routing table, None before the first one.
    """

    def __init__(self, *, rng: randomness.Random) -> None:
        self._rng = rng
        self.table: routing.RoutingTable | None = None
        self._by_host: dict[
            str, list[routing.Route | routing.UnusableRoute]
        ] = {}
        # A route that may be that of any call without another route.
        self._unknown_place: routing.UnusableRoute | None = None
        self._round_robins: dict[str, _WeightedRoundRobin] = {}

    def apply(self, table: routing.RoutingTable) -> bool:
        """Activates a table; returns False if its version is not newer."""
        if self.table is not None and table.version <= self.table.version:
            return False
        by_host = collections.defaultdict(list)
        self._unknown_place = None
        for route in (*table.routes, *table.unusable_routes):
            if route.host is None:
                self._unknown_place = route
            else:
                by_host[route.host].append(route)
        for routes in by_host.values():
            # `find` returns the first match, which must be the longest prefix.
            routes.sort(key=lambda route: -len(route.path_prefix or ""))
        self._by_host = dict(by_host)
        self._round_robins = {
            name: round_robin
            for name, round_robin in self._round_robins.items()
            if any(
                route.name == name and route.services == round_robin.services
                for route in table.routes
            )
        }
        self.table = table
        return True

    def find(
        self, *, host: str, path: str
    ) -> routing.Route | routing.UnusableRoute | None:
        """Returns the route of a request, or None if it certainly has none.

        Args:
            host: value of the `Host` header, with or without a port.
            path: request target, with or without a query.
        """
        path = path.partition("?")[0]
        for route in self._by_host.get(_host_name(host), ()):
            if path.startswith(route.path_prefix or ""):
                return route
        return self._unknown_place

    def choose_service(self, route: routing.Route) -> str:
        """Returns the service of the route's next call, by weight."""
        if len(route.services) == 1:
            return route.services[0].service
        round_robin = self._round_robins.get(route.name)
        if round_robin is None:
            round_robin = self._round_robins[route.name] = _WeightedRoundRobin(
                services=route.services, rng=self._rng
            )
        return round_robin.next()


def _host_name(host: str) -> str:
    """Returns a `Host` header's value in lower case, without the port.

    An IPv6 address is in brackets and contains colons itself.
    """
    if host.startswith("["):
        return host.partition("]")[0].lower() + "]"
    return host.partition(":")[0].lower()
