"""The simulator's adapter: decodes its wire format, maps ids to indices, and hosts independent instances."""
