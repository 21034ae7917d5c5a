"""Assembles the platform adapter of the edge process."""

from tanagerspoke.platform import headers
from tanagerspoke.platform import store
from tanagerspoke.settings import edge
from tanagerspoke.transport import edge_service

# The platform requests this path every second to learn whether a node accepts
# connections.
_READINESS_PATH = "/readiness"


def make(cfg: edge.Edge) -> edge_service.Adapter:
    """Returns the adapter for an edge process with these options."""
    return edge_service.Adapter(
        callers=headers.PlatformCallerDialect(),
        upstreams=headers.PlatformUpstreamDialect(),
        store=store.PlatformStore(endpoint=cfg.store),
        readiness_path=_READINESS_PATH,
    )
