"""All decisions, thresholds and tuned constants; no I/O. docs/architecture.md describes the modules."""
