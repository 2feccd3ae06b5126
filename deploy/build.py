"""Build the runtime of a host in target/: locked libraries and rampwick packages.

Libraries are installed only if the lock file changed and packages copied only if a
source file changed, so that a build without changes is fast.
"""

import compileall
import hashlib
import shutil
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TARGET = ROOT / "target"
LIBRARIES = TARGET / "deps"
LOCK = ROOT / "requirements-host.lock"

SOURCES = [
    *(
        ROOT / f"packages/rampwick-{name}/src/rampwick_{name}"
        for name in ("schema", "policy", "platform", "router")
    ),
    ROOT / "packages/rampwick-router/src/rampwick_start",
    ROOT / "platform/rampwick_adapter",
]


def main() -> int:
    """Rebuild outdated parts; return the exit code."""
    TARGET.mkdir(exist_ok=True)
    lock_hash = hashlib.sha256(LOCK.read_bytes()).hexdigest()
    if read_stamp("lock") != lock_hash:
        install_libraries()
        write_stamp("lock", lock_hash)
        write_stamp("sources", "")
    sources = hash_sources()
    if read_stamp("sources") != sources:
        copy_packages()
        write_stamp("sources", sources)
    return 0


def install_libraries() -> None:
    """Reinstall the locked libraries into an empty directory."""
    shutil.rmtree(LIBRARIES, ignore_errors=True)
    arguments = ["install", "-q", "--no-deps", "--target", str(LIBRARIES)]
    command = [sys.executable, "-m", "pip", *arguments, "-r", str(LOCK)]
    subprocess.run(command, check=True, cwd=ROOT)


def hash_sources() -> str:
    """Return a hash over all source files of the packages."""
    digest = hashlib.sha256()
    for folder in SOURCES:
        for path in sorted(folder.rglob("*.py")):
            digest.update(str(path.relative_to(ROOT)).encode() + b"\0")
            digest.update(path.read_bytes())
    return digest.hexdigest()


def copy_packages() -> None:
    """Copy the packages next to the libraries and compile them to bytecode."""
    for folder in SOURCES:
        copy = LIBRARIES / folder.name
        shutil.rmtree(copy, ignore_errors=True)
        shutil.copytree(folder, copy, ignore=shutil.ignore_patterns("__pycache__"))
        compileall.compile_dir(str(copy), quiet=1)


def read_stamp(name: str) -> str:
    """Return the hash of the last build, or an empty string."""
    path = TARGET / f"{name}.stamp"
    return path.read_text() if path.exists() else ""


def write_stamp(name: str, text: str) -> None:
    """Store the hash of the current build."""
    (TARGET / f"{name}.stamp").write_text(text)


if __name__ == "__main__":
    sys.exit(main())
