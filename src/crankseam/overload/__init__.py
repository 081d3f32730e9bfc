"""Overload control: how many requests run at once, who waits, who is refused and until when."""
