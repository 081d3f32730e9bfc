"""Usage: how many requests of each tenant began in each window of time, reported once a window."""
