"""Stand-ins for the systems around pollenmast, for the demo and tests."""
