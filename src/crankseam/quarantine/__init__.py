"""Requests that end the back ends which run them: recognized when they return, and held back.

When a request is held back and how it is released: `holding`. What a sender calls: `trial`.
"""
