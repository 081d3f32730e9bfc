"""The coordination store and what processes agree on through it: watches, leases, duties."""
