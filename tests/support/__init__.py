"""Shared code of the tests: fakes, builders and players of scenarios, each in a module of its own."""
