"""Control loops that reconcile the current state with the desired state."""
