"""Serving of requests: routing, selection of back ends, forwarding, retries, logs and settings."""
