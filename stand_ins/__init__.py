"""Small stand-ins for the platform, for demos and tests only."""
