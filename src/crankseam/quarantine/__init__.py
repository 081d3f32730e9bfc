"""Quarantine of requests that crash the back ends which run them.

A request under which a back end crashed is a suspect. It is recognized by its fingerprint when it
is sent again. Once enough back ends crashed under it, it is held: it is sent to no back end, except
as a probe, until it is released. `holding` has the rules; senders use `request_tracker` and
`crash_guard`.
"""
