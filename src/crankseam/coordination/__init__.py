"""Access to the coordination store, and what is built on it: watches, leases and duties."""
