#!/usr/bin/env python3
"""Runs clang-format on all C++ files and clang-tidy on the translation units of src/ and adapter/.

    tools/lint.py ROOT BUILD      BUILD holds compile_commands.json

A unit that clang-tidy found clean is skipped while the hash of its preprocessed source, .clang-tidy and the tool's version
stays the same; the hashes are kept in the user's cache folder. Prints each finding and exits with 1 if there is one.
"""
import concurrent.futures
import hashlib
import json
import os
import pathlib
import re
import shlex
import subprocess
import sys
import tempfile

CLANG_FORMAT = "clang-format-14"
CLANG_TIDY = "clang-tidy-14"
CLANG = "clang++-14"
LINTED_FOLDERS = ("src", "adapter")
FILES_PER_FORMAT_CALL = 50


def tracked_sources(root):
    out = subprocess.run(["git", "-C", root, "ls-files", "--cached", "--others", "--exclude-standard", "*.cpp", "*.h"],
                         capture_output=True, text=True, check=True).stdout
    return [root / name for name in out.split() if (root / name).exists()]


def unformatted(files):
    """clang-format's messages for the files that it would change."""
    messages = []
    for first in range(0, len(files), FILES_PER_FORMAT_CALL):
        batch = [str(file) for file in files[first:first + FILES_PER_FORMAT_CALL]]
        done = subprocess.run([CLANG_FORMAT, "--dry-run", "-Werror", *batch], capture_output=True, text=True)
        if done.returncode != 0:
            messages.append(done.stderr)
    return messages


def linted_units(root, build):
    """The compile commands of the linted folders, one per file."""
    units = {}
    for entry in json.loads((build / "compile_commands.json").read_text()):
        file = pathlib.Path(entry["directory"], entry["file"]).resolve()
        if not file.is_relative_to(root) or file.suffix != ".cpp":
            continue
        if file.relative_to(root).parts[0] in LINTED_FOLDERS:
            units.setdefault(file, entry)
    return units


def clang_command(file, entry):
    """A compile command for clang: macros, include paths and standard, without GCC's warnings and precompiled headers."""
    words = shlex.split(entry["command"])
    kept = [CLANG]
    for word, following in zip(words, words[1:] + [""]):
        if re.match(r"-[ID]|-std=", word):
            kept.append(word)
        elif word == "-isystem":
            kept += [word, following]
    return [*kept, "-w", "-c", str(file)]


def write_compile_commands(folder, units):
    commands = [{"directory": entry["directory"], "file": str(file), "arguments": clang_command(file, entry)}
                for file, entry in units.items()]
    (folder / "compile_commands.json").write_text(json.dumps(commands))


def fingerprint(file, entry, settings):
    """A hash of clang-tidy's input; None if the file can't be preprocessed, so that clang-tidy reports why."""
    done = subprocess.run([*clang_command(file, entry), "-E", "-C"], cwd=entry["directory"], capture_output=True)
    if done.returncode != 0:
        return None
    return hashlib.sha256(settings + done.stdout).hexdigest()


def findings(file, entry, commands, settings, cache):
    """clang-tidy's output for a unit; empty if the unit is clean."""
    key = fingerprint(file, entry, settings)
    if key and (cache / key).exists():
        return ""
    done = subprocess.run([CLANG_TIDY, "--quiet", "-p", commands, str(file)], capture_output=True, text=True)
    if done.returncode != 0:
        return done.stdout + done.stderr
    if key:
        (cache / key).touch()
    return ""


def main():
    root = pathlib.Path(sys.argv[1]).resolve()
    build = pathlib.Path(sys.argv[2]).resolve()
    cache = pathlib.Path(os.environ.get("XDG_CACHE_HOME") or pathlib.Path.home() / ".cache") / "cometfold-lint"
    cache.mkdir(parents=True, exist_ok=True)
    version = subprocess.run([CLANG_TIDY, "--version"], capture_output=True, check=True).stdout
    settings = version + (root / ".clang-tidy").read_bytes()

    files = tracked_sources(root)
    problems = unformatted(files)
    units = linted_units(root, build)
    with tempfile.TemporaryDirectory() as commands, concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        write_compile_commands(pathlib.Path(commands), units)
        found = pool.map(lambda unit: findings(*unit, commands, settings, cache), units.items())
        problems += [text for text in found if text]
    for problem in problems:
        print(problem)
    print(f"lint: {len(files)} files formatted, {len(units)} units linted, {len(problems)} with findings")
    sys.exit(1 if problems else 0)


if __name__ == "__main__":
    main()
