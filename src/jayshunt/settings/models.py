"""Define the settings of an entry process."""

import ipaddress
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field
from pydantic.functional_validators import AfterValidator


def _check_address(value: str) -> str:
    host, colon, port = value.rpartition(":")
    if not colon or not port.isdigit() or not 0 <= int(port) <= 65_535:
        raise ValueError("must be IP:PORT, for example 127.0.0.1:8080")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError as error:
        raise ValueError("must be an IP number and a port, not a name") from error
    return value


Address = Annotated[str, AfterValidator(_check_address)]
# Names of entries, zones and regions: 1 to 63 lower-case letters, digits and hyphens,
# the first of them no hyphen.
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class StrictModel(BaseModel):
    """Immutable model that rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Identity(StrictModel):
    """Names of this entry, its availability zone and its region."""

    entry: Name
    zone: Name
    region: Name


class Listen(StrictModel):
    """Addresses that this entry listens on, each an IP address and a port."""

    callers: Address
    operators: Address
    peers: Address


class Platform(StrictModel):
    """URLs of the platform's services."""

    store_url: str = Field(pattern=r"^https?://[^/]+$")
    inventory_url: str = Field(pattern=r"^https?://[^/]+$")


class TlsFiles(StrictModel):
    """Paths of the PEM files of a certificate, its key and the trusted CA."""

    certificate_file: Path
    key_file: Path
    authority_file: Path


class ServerTlsFiles(StrictModel):
    """Paths of the PEM files of a server's certificate and key.

    If `client_authority_file` is set, only clients with a certificate of that CA
    are served.
    """

    certificate_file: Path
    key_file: Path
    client_authority_file: Path | None = None


class Tls(StrictModel):
    """TLS files for peers, callers and operators; plain text is used without them."""

    peers: TlsFiles | None = None
    callers: ServerTlsFiles | None = None
    operators: ServerTlsFiles | None = None


class Operators(StrictModel):
    """File with the bearer token that operators' calls must present."""

    token_file: Path


class Limits(StrictModel):
    """Limits for the resources that callers use on this entry.

    `read_timeout_ms` applies to a request's whole head and again to its whole body.
    `max_held_body_bytes` applies to the bodies of all connections together. Without
    `max_connections_per_client` one address may use all connections; leave it unset
    behind the platform's load balancer, whose address all callers then have.
    `drain_grace_ms` should exceed the interval at which the load balancer checks
    `/readyz`.
    """

    max_connections: int = Field(default=256, ge=1, le=4096)
    max_connections_per_client: int | None = Field(default=None, ge=1, le=4096)
    max_body_bytes: int = Field(default=8 * 1024 * 1024, ge=0, le=256 * 1024 * 1024)
    max_held_body_bytes: int = Field(default=64 * 1024 * 1024, ge=0, le=2**34)
    read_timeout_ms: int = Field(default=10_000, ge=10, le=600_000)
    write_timeout_ms: int = Field(default=10_000, ge=10, le=600_000)
    idle_timeout_ms: int = Field(default=60_000, ge=10, le=600_000)
    drain_grace_ms: int = Field(default=1_000, ge=0, le=600_000)
    drain_timeout_ms: int = Field(default=30_000, ge=0, le=600_000)


class EntrySettings(StrictModel):
    """All settings of an entry process.

    `seeds` are peer addresses of other entries, contacted to join the membership.
    """

    identity: Identity
    listen: Listen
    platform: Platform
    operators: Operators
    seeds: tuple[Address, ...] = ()
    tls: Tls = Tls()
    limits: Limits = Limits()
