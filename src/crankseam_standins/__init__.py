"""Emulators of the external systems that Crankseam depends on, with fault injection."""
