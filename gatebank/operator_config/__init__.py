"""The operators' file: gatebank's own settings, as a Starlark script that calls sections.

sections.py        what a section is: a schema that a package declares beside its code, and its checks
script.py          runs the script in a process of its own, bounded in time and memory
child.py           the program of that process
operators_file.py  a file, read and checked whole

Nothing of this is imported unless a command is given such a file.
"""
