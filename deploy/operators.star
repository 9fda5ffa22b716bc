# The operators' file: what is not of the platform's configuration. `gatebank serve CONFIGURATION --orders FILE`
# and `gatebank capture replay ... --orders FILE` read it; `gatebank check CONFIGURATION --orders FILE` checks it.
# It is a Starlark script that calls sections. As it stands it turns nothing on. docs/operators.md has every field.
#
# Write the exchanges with customers to pcapng files of 64 MB or ten minutes, two days of them, bodies hashed:
#
#     recording(
#         folder = "/var/lib/gatebank/recordings",
#         sides = ["customer"],
#         file_seconds = 600,
#         keep_files = 288,
#         bodies = "hashed",
#     )
#
# A rehearsal marshal to which a replay may send what must not run twice, once; and one to which it may send
# what may run again:
#
#     target(address = "127.0.0.1:6380", rehearsal = True)
#     target(address = "127.0.0.1:6381")
