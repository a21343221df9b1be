"""Certificates for tests of connections."""

import trustme

from ivystep.wire import tls


def contexts(folder, authority: trustme.CA, name: str) -> tls.TlsContexts:
    """Return TLS contexts of a process with one DNS name."""
    ca_path, path = folder / 'ca.pem', folder / f'{name}.pem'
    authority.cert_pem.write_to_path(str(ca_path))
    certificate = authority.issue_cert(name)
    certificate.private_key_and_cert_chain_pem.write_to_path(str(path))
    return tls.TlsContexts(tls.TlsFiles(str(ca_path), str(path), str(path)))
