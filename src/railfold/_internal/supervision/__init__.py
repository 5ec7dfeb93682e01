"""The supervisor tree that both roles are built on."""
