"""Other entries: what is told and asked between them."""
