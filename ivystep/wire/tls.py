"""Mutual TLS between ivystep's own processes.

The certificate files are read again when they change, so that certificates
rotate without a restart.
"""

import dataclasses
import os
import ssl

from ivystep.runtime import logs

ENTRY_NAME = 'entry.ivystep.internal'
SIDECAR_NAME = 'sidecar.ivystep.internal'

log = logs.get('tls')


@dataclasses.dataclass(frozen=True, slots=True)
class TlsFiles:
    """Paths of PEM files.

    Attributes:
        authority: Certificate of the private certificate authority.
        certificate: This process's certificate chain.
        key: This process's private key.
    """

    authority: str
    certificate: str
    key: str


class TlsContexts:
    """Client and server contexts, reloaded when their files change."""

    def __init__(self, files: TlsFiles) -> None:
        self._files = files
        self._mtimes: tuple[int, ...] = ()
        self._server: ssl.SSLContext | None = None
        self._client: ssl.SSLContext | None = None

    @property
    def server(self) -> ssl.SSLContext:
        """Context for accepted connections; demands a client certificate."""
        self._reload_if_changed()
        return self._server

    @property
    def client(self) -> ssl.SSLContext:
        """Context for opened connections."""
        self._reload_if_changed()
        return self._client

    def _reload_if_changed(self) -> None:
        try:
            self._reload()
        except OSError as error:
            # Partly replaced files must not disconnect a running process.
            if self._server is None:
                raise
            log.warning(
                'Certificates cannot be read, the previous ones stay: %s.',
                error,
            )

    def _reload(self) -> None:
        paths = dataclasses.astuple(self._files)
        mtimes = tuple(os.stat(path).st_mtime_ns for path in paths)
        if mtimes == self._mtimes:
            return
        server = self._build_context(ssl.PROTOCOL_TLS_SERVER)
        self._client = self._build_context(ssl.PROTOCOL_TLS_CLIENT)
        self._server = server
        self._mtimes = mtimes

    def _build_context(self, protocol: int) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(self._files.authority)
        context.load_cert_chain(self._files.certificate, self._files.key)
        return context


def peer_names(connection: ssl.SSLSocket) -> frozenset[str]:
    """Return the DNS names in the peer's certificate."""
    certificate = connection.getpeercert() or {}
    names = certificate.get('subjectAltName', ())
    return frozenset(name for kind, name in names if kind == 'DNS')
