"""The `crankseam` command line; each verb has its own module."""
