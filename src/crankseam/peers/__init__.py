"""Messages, frames and connections between nodes."""
