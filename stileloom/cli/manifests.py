"""Object manifests: TOML files with one `[[object]]` table per object."""

from __future__ import annotations

from pathlib import Path

import msgspec

from stileloom.api.objects import ObjectManifest, Policy, parse_spec
from stileloom.errors import ErrorKind, StileloomError
from stileloom.policy import check_policy


class ManifestFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Contents of a manifest file."""

    object: list[ObjectManifest]


def load_manifests(path: Path) -> list[ObjectManifest]:
    """Loads and validates a manifest file.

    Raises `StileloomError` of kind OBJECT_INVALID or POLICY_INVALID with the file and the object.
    """
    try:
        manifests = msgspec.toml.decode(path.read_bytes(), type=ManifestFile).object
    except OSError as error:
        raise StileloomError(ErrorKind.OBJECT_INVALID, f"{path}: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise StileloomError(ErrorKind.OBJECT_INVALID, f"{path}: {error}") from error
    for manifest in manifests:
        _check(path, manifest)
    return manifests


def _check(path: Path, manifest: ObjectManifest) -> None:
    try:
        spec = parse_spec(manifest.kind, manifest.spec)
        if isinstance(spec, Policy):
            check_policy(manifest.name, spec)
    except StileloomError as error:
        location = f"{path}: {manifest.kind.value} {manifest.name!r}"
        raise StileloomError(error.kind, f"{location}: {error.detail}") from error
