"""What the system's own processes say to each other, and how it is sealed."""
