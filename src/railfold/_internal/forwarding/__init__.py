"""The forwarding entry: sends requests directly to engines, which pass work on."""
