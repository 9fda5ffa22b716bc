"""The service: one marshal on sockets round the decision module. Parts and owners: docs/service.md."""
