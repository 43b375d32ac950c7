"""Build the executable file with all roles and verbs: `make binary`.

The file is a zip archive whose first line names the interpreter. Its first start
unpacks it, with its compiled modules, into memory-backed storage; the program then
runs in the same process.
"""

import hashlib
import os
import shutil
import sys
import sysconfig
import tempfile
import zipapp
import zipfile
from importlib import metadata
from pathlib import Path

from packaging.requirements import Requirement

ROOT = Path(__file__).resolve().parent.parent
_INTERPRETER = "/usr/bin/env python3.11"
_EXCLUDED_NAMES = {"tests", "__pycache__"}

_MAIN = '''"""Unpack into memory-backed storage and run in this same process."""

import os
import sys
import zipfile

DIGEST = "{digest}"
MEMORY = ("tmpfs", "ramfs")


def folders():
    """Yield folders to unpack into; a folder that the user chose is the only one."""
    chosen = os.environ.get("CATKINKNOT_UNPACK_DIR")
    if chosen:
        yield chosen
        return
    mounts = [line.split() for line in open("/proc/mounts")]
    backed = {{row[1] for row in mounts if row[2] in MEMORY}}
    for folder in (f"/run/user/{{os.getuid()}}", "/run", "/tmp"):
        if folder in backed and os.access(folder, os.W_OK):
            yield folder
    # On a machine without disks, /tmp is backed by memory in any case.
    yield "/tmp"


def unpack(archive):
    """Unpack the archive, unless it is unpacked already, and return the folder."""
    for folder in folders():
        target = os.path.join(folder, f"catkinknot-{{os.getuid()}}-{{DIGEST}}")
        if os.path.isdir(target):
            if os.stat(target).st_uid != os.getuid():
                continue
            return target
        part = f"{{target}}.{{os.getpid()}}"
        os.mkdir(part, 0o700)
        with zipfile.ZipFile(archive) as packed:
            packed.extractall(part)
        try:
            os.rename(part, target)
        except OSError:
            # Another process of this user was faster; its copy is the same.
            import shutil

            shutil.rmtree(part)
        return target
    sys.exit("catkinknot: no folder to unpack into; set CATKINKNOT_UNPACK_DIR")


if __name__ == "__main__":
    sys.dont_write_bytecode = True
    sys.path[0] = unpack(sys.path[0])
    from catkinknot.app import main

    main()
'''


def main() -> None:
    """Build the executable at the path named on the command line."""
    target = ROOT / sys.argv[1]
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        stage = Path(folder)
        _copy_sources(stage)
        _copy_dependencies(stage)
        (stage / "__main__.py").write_text(_MAIN.format(digest=_digest(stage)))
        zipapp.create_archive(stage, target, interpreter=_INTERPRETER, compressed=True)
    target.chmod(0o755)
    with zipfile.ZipFile(target) as packed:
        print(f"{target}: {target.stat().st_size / 1e6:.1f} MB, {len(packed.namelist())} files")


def _copy_sources(stage: Path) -> None:
    """Copy the sources of the app and of the libraries in this repository."""
    for source in [*ROOT.glob("libs/*/src"), ROOT / "app" / "src", ROOT / "platform" / "src"]:
        shutil.copytree(source, stage, dirs_exist_ok=True, ignore=_excluded)


def _copy_dependencies(stage: Path) -> None:
    """Copy the installed distributions that the app requires."""
    site = Path(sysconfig.get_path("platlib"))
    for name in sorted(_required_distributions()):
        for file in metadata.files(name) or ():
            source = Path(file.locate())
            inside = site in source.parents and not _EXCLUDED_NAMES & set(file.parts)
            if inside and source.is_file() and ".." not in file.parts:
                copy = stage / file
                copy.parent.mkdir(parents=True, exist_ok=True)
                shutil.copy(source, copy)


def _required_distributions() -> set[str]:
    """Return the names of the requirements and of all their own requirements."""
    lines = (ROOT / "requirements.txt").read_text().split()
    pending, names = list(lines), set()
    while pending:
        name = pending.pop().lower().replace("_", "-")
        if name in names:
            continue
        names.add(name)
        for text in metadata.requires(name) or ():
            requirement = Requirement(text)
            if requirement.marker is None or requirement.marker.evaluate({"extra": ""}):
                pending.append(requirement.name)
    return names


def _digest(stage: Path) -> str:
    """Return a hash of all files, so that each version unpacks into its own folder."""
    digest = hashlib.blake2b(digest_size=8)
    for path in sorted(stage.rglob("*")):
        if path.is_file():
            digest.update(str(path.relative_to(stage)).encode() + path.read_bytes())
    return digest.hexdigest()


def _excluded(folder: str, names: list[str]) -> list[str]:
    """Return the names in a folder that are not needed at run time."""
    return [n for n in names if n in _EXCLUDED_NAMES or n.endswith(".egg-info")]


if __name__ == "__main__":
    os.chdir(ROOT)
    main()
