"""Controllers that reconcile target state with current state."""
