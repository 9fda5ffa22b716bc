"""Every decision, threshold and tuned constant; no I/O. docs/architecture.md says what stands where."""
