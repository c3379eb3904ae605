#!/usr/bin/env python3
"""Checks which folder includes which, and that folders without I/O use neither sockets nor clocks.

    tools/check_layers.py ROOT      prints each violation and exits with 1 if there is one
"""
import pathlib
import re
import sys

PUBLIC = "cometfold"  # include/cometfold, for embedders

# folder: the folders that its files may include, in addition to itself and the public headers
ALLOWED = {
    "include/cometfold": set(),
    "src/admission": set(),
    "src/json": set(),
    "src/engine": set(),
    "src/limits": set(),
    "src/membership": set(),
    "src/settings": set(),
    "src/http2": set(),
    "src/rules": {"engine"},
    "src/resp": {"engine"},
    "src/ops": {"engine"},
    "src/extproc": {"engine", "http2"},
    "adapter": set(),
    "src/cli": {"json"},
    "src/explore": {"engine", "resp", "rules"},
    "src/net": {"adapter", "engine", "extproc", "http2", "limits", "membership", "ops", "resp", "settings"},
}
# All other folders do no I/O and read no clock: callers pass in time and bytes.
WITH_IO = {"src/net", "src/cli", "src/explore", "src/json", "adapter"}
IO_HEADERS = re.compile(r"(boost/asio|boost/beast|sys/(socket|epoll|un|uio|stat|ioctl)|netinet/|arpa/|unistd\.h|fcntl\.h|"
                        r"poll\.h|signal\.h|fstream|iostream|filesystem|thread|ctime|time\.h|random_device)")
CLOCKS = re.compile(r"\b(steady_clock|system_clock|high_resolution_clock|clock_gettime|gettimeofday)\b")
INCLUDE = re.compile(r'^\s*#\s*include\s*(?:"([^"]+)"|<([^>]+)>)')


def folder_of(path):
    """The folder in ALLOWED that contains this path, relative to the root; None if there is none."""
    text = path.as_posix()
    return next((folder for folder in ALLOWED if text.startswith(folder + "/")), None)


def find_violations(folder, text):
    """Yields the line number and the reason of each violation in a file of this folder."""
    own = folder.rsplit("/", 1)[-1]
    for number, line in enumerate(text.splitlines(), 1):
        include = INCLUDE.match(line)
        if include and include[1]:
            first = include[1].split("/")[0]
            generated = include[1].endswith(".pb.h")
            if "/" in include[1] and first not in ALLOWED[folder] | {own, PUBLIC}:
                yield number, f"{folder} must not include {include[1]}"
            elif "/" not in include[1] and not generated:
                yield number, f"{include[1]} must be included with its folder"
        elif include and folder not in WITH_IO and IO_HEADERS.match(include[2]):
            yield number, f"{folder} does no I/O and must not include <{include[2]}>"
        elif folder not in WITH_IO and CLOCKS.search(line):
            yield number, f"{folder} must not read a clock: {CLOCKS.search(line)[0]}"


def main():
    root = pathlib.Path(sys.argv[1])
    problems = []
    checked = 0
    for path in sorted(root.glob("**/*.[ch]*")):
        folder = folder_of(path.relative_to(root))
        if folder is None or path.suffix not in (".h", ".cpp"):
            continue
        checked += 1
        problems += [f"{path.relative_to(root)}:{number}: {why}"
                     for number, why in find_violations(folder, path.read_text())]
    for problem in problems:
        print(problem)
    print(f"layers: {checked} files, {len(problems)} includes that are not allowed")
    sys.exit(1 if problems or not checked else 0)


if __name__ == "__main__":
    main()
