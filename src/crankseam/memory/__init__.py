"""Memory budget of a process: the bytes that bodies and unsent answers may hold together."""
