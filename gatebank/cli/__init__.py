"""Sub-commands, a file a group. What they need is imported as they run: `serve` loads none of it."""
