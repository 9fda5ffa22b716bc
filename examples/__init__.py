"""A toy world to try gatebank in; see README.md beside this file."""
