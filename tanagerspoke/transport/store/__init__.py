"""Platform clients, services that use them, probes and the control budget."""
