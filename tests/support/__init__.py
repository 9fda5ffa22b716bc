"""What tests share: stand-ins, builders and players, one job a module."""
