recording(folder = "recordings")
learning(snapshots = "snapshots")
keys(folder = "keys/instance")
target(address = "127.0.0.1:6381")
