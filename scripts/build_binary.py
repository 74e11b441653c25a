"""Builds ``dist/galenashift``, a single executable file that runs as one process.

The file is a POSIX shell loader followed by a compressed PyInstaller folder. See
docs/PACKAGING.md for the reasons.
"""

import gzip
import hashlib
import io
import pkgutil
import shutil
import subprocess
import sys
import tarfile
from pathlib import Path

import galenashift

ROOT = Path(__file__).parents[1]
BUILD = ROOT / "build" / "binary"
LOADER = Path(__file__).with_name("loader.sh")
OUTPUT = ROOT / "dist" / "galenashift"
MANIFEST = "SHA256SUMS"

_EXCLUDED_MODULES = (
    "_pytest",
    "hypothesis",
    "mypy",
    "pip",
    "pkg_resources",
    "pytest",
    "ruff",
    "setuptools",
    "tkinter",
    "unittest",
)
# Imported dynamically or by compiled modules, which PyInstaller does not analyse.
_HIDDEN_IMPORTS = ("hypercorn.trio", "thriftpy2.transport.cybase")


def shipped_modules() -> list[str]:
    """List the modules of the package, without the tests."""
    found = pkgutil.walk_packages(galenashift.__path__, "galenashift.")
    return sorted(each.name for each in found if ".tests" not in each.name)


def build_folder() -> Path:
    """Run PyInstaller.

    :returns: Folder with the executable and its libraries.
    """
    command = [sys.executable, "-m", "PyInstaller", "--onedir", "--noconfirm"]
    command += ["--name", "galenashift", "--log-level", "WARN", "--strip"]
    command += ["--distpath", str(BUILD / "dist"), "--workpath", str(BUILD / "work")]
    command += ["--specpath", str(BUILD), "--paths", str(ROOT)]
    command += ["--collect-data", "galenashift"]
    for module in (*shipped_modules(), *_HIDDEN_IMPORTS):
        command += ["--hidden-import", module]
    for module in _EXCLUDED_MODULES:
        command += ["--exclude-module", module]
    command.append(str(ROOT / "galenashift" / "__main__.py"))
    subprocess.run(command, check=True, cwd=ROOT)
    return BUILD / "dist" / "galenashift"


def write_manifest(folder: Path) -> str:
    """Write a manifest with the digests of all files in a folder.

    :param folder: Folder to describe.
    :returns: Digest of the manifest itself.
    """
    lines = []
    for path in sorted(folder.rglob("*")):
        if path.is_file() and path.name != MANIFEST:
            digest = hashlib.sha256(path.read_bytes()).hexdigest()
            lines.append(f"{digest}  ./{path.relative_to(folder).as_posix()}\n")
    content = "".join(lines).encode()
    (folder / MANIFEST).write_bytes(content)
    return hashlib.sha256(content).hexdigest()


def pack(folder: Path) -> bytes:
    """Compress a folder reproducibly: equal content gives equal bytes.

    :param folder: Folder to pack; archive names are relative to it.
    """
    buffer = io.BytesIO()
    with tarfile.open(fileobj=buffer, mode="w", format=tarfile.GNU_FORMAT) as archive:
        for path in sorted(folder.rglob("*")):
            name = path.relative_to(folder).as_posix()
            entry = archive.gettarinfo(str(path), arcname=name)
            entry.mtime = entry.uid = entry.gid = 0
            entry.uname = entry.gname = ""
            if entry.isreg():
                with path.open("rb") as stream:
                    archive.addfile(entry, stream)
            else:
                archive.addfile(entry)
    return gzip.compress(buffer.getvalue(), compresslevel=9, mtime=0)


def assemble(*, loader: str, payload: bytes, manifest_digest: str) -> bytes:
    """Prepend the loader to the payload.

    :param loader: Text of the loader with placeholders.
    :param payload: Packed folder.
    :param manifest_digest: Digest of the folder's manifest.
    """
    header = loader.replace("@DIGEST@", hashlib.sha256(payload).hexdigest())
    header = header.replace("@MANIFEST@", manifest_digest)
    # The offset has a fixed width, so that inserting it does not change it.
    offset = len(header.replace("@OFFSET@", "0" * 8).encode()) + 1
    return header.replace("@OFFSET@", f"{offset:08d}").encode() + payload


def main() -> None:
    """Build the executable."""
    shutil.rmtree(BUILD, ignore_errors=True)
    folder = build_folder()
    manifest_digest = write_manifest(folder)
    payload = pack(folder)
    content = assemble(
        loader=LOADER.read_text(), payload=payload, manifest_digest=manifest_digest
    )
    OUTPUT.parent.mkdir(exist_ok=True)
    partial_file = OUTPUT.with_suffix(".part")
    partial_file.write_bytes(content)
    partial_file.chmod(0o755)
    partial_file.replace(OUTPUT)
    unpacked_bytes = sum(
        each.stat().st_size for each in folder.rglob("*") if each.is_file()
    )
    print(
        f"{OUTPUT.relative_to(ROOT)}: {len(content) / 1e6:.1f} MB, "
        f"{unpacked_bytes / 1e6:.1f} MB unpacked"
    )


if __name__ == "__main__":
    main()
