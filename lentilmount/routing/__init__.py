"""The entry path: choosing an upstream and answering the caller."""
