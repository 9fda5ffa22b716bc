"""The operators' file: a Starlark script that configures gatebank by calling sections as functions.

sections.py        base class of sections (schemas that packages declare beside their code) and its checks
script.py          runs the script in a separate process with limits on time and memory
child.py           the program that runs in this process
operators_file.py  reads a file and checks all of it

No module of this package is imported unless a command is started with an operators' file.
"""
