"""The operators' file: our own settings, as a Starlark script that calls sections.

    sections.py   what a section is: a schema that a direction declares beside its code, and its checks
    script.py     the script to calls of sections, in a process of its own, bounded in time and memory
    child.py      that process
    orders.py     a file read and checked whole

Nothing of this is imported unless a command is told of such a file.
"""
