"""Plays faults on real processes and checks what the workers have run."""
