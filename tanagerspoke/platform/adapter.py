"""Joins the parts of the adapter for the edge process."""

from tanagerspoke.platform import headers
from tanagerspoke.platform import store
from tanagerspoke.settings import edge
from tanagerspoke.transport import edge_service

# Where the platform asks each second whether a node takes connections.
_READINESS_PATH = "/readiness"


def make(cfg: edge.Edge) -> edge_service.Adapter:
    """Returns the adapter of an edge process."""
    return edge_service.Adapter(
        callers=headers.PlatformCallers(),
        upstreams=headers.PlatformDialect(),
        store=store.PlatformStore(endpoint=cfg.store),
        readiness_path=_READINESS_PATH,
    )
