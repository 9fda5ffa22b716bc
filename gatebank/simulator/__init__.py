"""The simulator's wire: decodes it, maps ids to small indices, and hosts marshals that share nothing."""
