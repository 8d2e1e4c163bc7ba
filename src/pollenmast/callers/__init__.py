"""What the relay reads from callers' packets and answers to them."""
