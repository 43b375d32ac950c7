"""Settings file of one process."""

import stat
from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field
from pydantic.dataclasses import dataclass

from ._check import STRICT, check_json
from ._codes import ResultCode
from ._config import Name
from .exceptions import BadInputError

__all__ = ["Address", "KeyFiles", "Settings", "load_settings"]

_Port = Annotated[int, Field(ge=1, le=65_535)]
_Ip = Annotated[str, Field(pattern=r"^(\d{1,3})(\.\d{1,3}){3}$")]


@dataclass(frozen=True, config=STRICT)
class Address:
    """IP address and port of a service.

    Attributes:
        ip: The IPv4 address.
        port: The TCP port.
    """

    ip: _Ip
    port: _Port

    def __str__(self) -> str:
        """Return the address as ``ip:port``."""
        return f"{self.ip}:{self.port}"


@dataclass(frozen=True, config=STRICT)
class KeyFiles:
    """Paths of the files that hold keys; an empty path disables the feature that needs the key.

    Attributes:
        operator_token: File with the operators' token.
        peer_secret: File with this deployment's ZMQ CURVE secret key.
        tls_certificate: File with the certificate that is presented to callers.
        tls_key: File with the certificate's private key.
    """

    operator_token: str = ""
    peer_secret: str = ""
    tls_certificate: str = ""
    tls_key: str = ""


@dataclass(frozen=True, config=STRICT)
class Settings:
    """Settings of one ``catkinknot serve`` process.

    Attributes:
        instance: Name of this instance.
        zone: Availability zone of this instance.
        http: Address on which the instance serves callers and operators.
        peer: Address on which the instance serves other instances.
        log: Addresses of the platform's log service, tried in order.
        instance_list: Address of the platform's instance list.
        keys: Paths of the key files.
        log_form: Whether log lines are text or JSON.
        log_level: Lowest level that is written.
        http_threads: Callers served concurrently.
        body_limit_bytes: Largest accepted request body.
        drain_s: Longest time that a graceful shutdown waits.
    """

    instance: Name
    zone: Name
    http: Address
    peer: Address
    log: Annotated[tuple[Address, ...], Field(min_length=1)]
    instance_list: Address
    keys: KeyFiles = Field(default_factory=KeyFiles)
    log_form: Literal["text", "json"] = "text"
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    http_threads: Annotated[int, Field(ge=4, le=512)] = 64
    body_limit_bytes: Annotated[int, Field(ge=1024, le=16 * 2**20)] = 256 * 1024
    drain_s: Annotated[float, Field(gt=0, le=3600)] = 60.0


def load_settings(path: str | Path) -> Settings:
    """Read and check a settings file.

    Args:
        path: Path of the settings file.

    Returns:
        The settings.

    Raises:
        BadInputError: When the file is missing or invalid, or other users can read a key file.
    """
    try:
        raw = Path(path).read_bytes()
    except OSError as exc:
        reason = f"{path}: {exc.strerror}"
        raise BadInputError(ResultCode.BAD_SETTINGS, [reason]) from None
    settings = check_json(Settings, raw, code=ResultCode.BAD_SETTINGS)
    for name in (settings.keys.operator_token, settings.keys.peer_secret, settings.keys.tls_key):
        if name:
            _check_private(Path(name))
    return settings


def _check_private(path: Path) -> None:
    """Reject a key file that other users can read.

    Args:
        path: Path of the key file.

    Raises:
        BadInputError: When the file is missing or other users can read it.
    """
    try:
        mode = path.stat().st_mode
    except OSError as exc:
        reason = f"{path}: {exc.strerror}"
        raise BadInputError(ResultCode.BAD_SETTINGS, [reason]) from None
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        reason = f"{path}: other users can read this key file; set its mode to 600"
        raise BadInputError(ResultCode.KEY_FILE_EXPOSED, [reason])
