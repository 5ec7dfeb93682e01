"""What operators do: publish configuration, look at processes, drain them."""
