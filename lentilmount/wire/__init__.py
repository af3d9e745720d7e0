"""Generated messages between daemons; made by `make wire`."""
