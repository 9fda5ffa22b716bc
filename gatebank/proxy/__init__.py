"""The service: one instance, which connects the balancer to the network. Components: docs/service.md."""
