"""Communication between edge nodes, agents and gateways."""
