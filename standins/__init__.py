"""Small stand-ins for what surrounds pollenmast, for the demo and tests."""
