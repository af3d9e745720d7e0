"""Stand-ins for the outer platform, for demos, tests and benchmarks only."""
