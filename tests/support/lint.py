"""Runs clang-tidy over all source files, and skips files whose preprocessed text is known clean."""
import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys


def digest(entry, config):
    words = shlex.split(entry["command"])
    words = words[1:] if words[0].endswith("ccache") else words
    output = words.index("-o")
    words = words[:output] + words[output + 2:] + ["-E", "-P"]
    text = subprocess.run(words, cwd=entry["directory"], capture_output=True, check=True).stdout
    return hashlib.sha256(config + text).hexdigest()


def lint(entry, build, config, cache):
    key = cache / digest(entry, config)
    if key.exists():
        return ""
    done = subprocess.run(["clang-tidy", "--quiet", "--extra-arg=-Wno-unknown-warning-option", "-p", str(build),
                           entry["file"]],
                          capture_output=True, text=True)
    if done.returncode == 0:
        key.touch()
        return ""
    return done.stdout + done.stderr


def main():
    build = pathlib.Path(sys.argv[1])
    cache = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache"),
                         "jackdawlead-lint")
    cache.mkdir(parents=True, exist_ok=True)
    config = pathlib.Path(".clang-tidy").read_bytes()
    entries = json.loads((build / "compile_commands.json").read_text())
    with concurrent.futures.ThreadPoolExecutor(max_workers=os.cpu_count()) as pool:
        results = list(pool.map(lambda entry: lint(entry, build, config, cache), entries))
    faults = [result for result in results if result]
    print("\n".join(faults))
    sys.exit(1 if faults else 0)


main()
