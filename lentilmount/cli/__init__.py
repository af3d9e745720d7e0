"""The command-line tool of operators, over the resource API only."""
