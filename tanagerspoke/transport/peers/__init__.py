"""Talk between the nodes and programs of the system."""
