"""Usage reports: the number of requests of each tenant that began in each window of time."""
