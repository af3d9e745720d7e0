"""The operators' command-line tool, a client of the resource API."""
