"""Requests that end the back ends which run them: known again when they return, and held back."""
