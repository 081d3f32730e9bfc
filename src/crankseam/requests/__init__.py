"""The filter chain that handles every app request."""
