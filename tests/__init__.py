"""Tests, a file for each feature."""
