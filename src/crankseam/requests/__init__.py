"""The filter chain that every app request passes."""
