"""Commands: operations that change resources."""
