"""Read the keys that authenticate entries to each other."""

import grpc

from jayshunt.settings.models import TlsFiles


def server_credentials(files: TlsFiles) -> grpc.ServerCredentials:
    """Return credentials that demand a certificate from every client."""
    return grpc.ssl_server_credentials(
        [(files.key_file.read_bytes(), files.certificate_file.read_bytes())],
        root_certificates=files.authority_file.read_bytes(),
        require_client_auth=True,
    )


def channel_credentials(files: TlsFiles) -> grpc.ChannelCredentials:
    """Return credentials that show the entry's own certificate."""
    return grpc.ssl_channel_credentials(
        root_certificates=files.authority_file.read_bytes(),
        private_key=files.key_file.read_bytes(),
        certificate_chain=files.certificate_file.read_bytes(),
    )
