"""An entry that reaches endpoints itself, without agents beside them."""
