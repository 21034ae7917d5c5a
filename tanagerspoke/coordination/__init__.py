"""Decision logic of gateways, agents and edge nodes, without I/O."""
