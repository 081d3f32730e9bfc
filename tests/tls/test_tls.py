"""TLS keys between nodes and to callers: unknown keys are refused, new keys need no restart."""

import datetime
import os
import ssl
from pathlib import Path

import aiohttp
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from crankseam.errors import PeerError
from crankseam.node import Node
from crankseam.peers.messages import Done, Nudge
from crankseam.peers.transport import PeerTransport
from crankseam.settings import TlsSettings
from crankseam.tls import TlsKeys
from tests.support.harness import Platform, eventually, settings_for


class Authority:
    """A certificate authority that writes its certificates and keys into a folder."""

    def __init__(self, folder: Path, name: str) -> None:
        self._folder = folder
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        certificate = self._build(self._name, self._key, is_authority=True)
        self._serial = 0
        self.file = folder / f"{name}.pem"
        self.file.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))

    def _build(self, subject, key, is_authority):
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(days=1))
            .not_valid_after(now + datetime.timedelta(days=1))
            .add_extension(x509.BasicConstraints(ca=is_authority, path_length=None), critical=True)
        )
        return builder.sign(self._key, hashes.SHA256())

    def sign(self, name: str) -> tuple[Path, Path]:
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        certificate = self._build(subject, key, is_authority=False)
        certificate_file, key_file = self._folder / f"{name}.crt", self._folder / f"{name}.key"
        certificate_file.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        key_file.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return certificate_file, key_file


@pytest.fixture
def authority(tmp_path):
    return Authority(tmp_path, "authority")


@pytest.fixture
def other_authority(tmp_path):
    return Authority(tmp_path, "stranger")


def keys(signer: Authority, name: str, trusted: Authority) -> TlsKeys:
    certificate, key = signer.sign(name)
    return TlsKeys(TlsSettings(certificate=certificate, key=key, authority=trusted.file))


def transport(name: str, tls: TlsKeys) -> PeerTransport:
    return PeerTransport(name, 1, None, tls.peer_server_context, tls.peer_client_context)


@pytest.fixture
async def server(authority):
    tls = keys(authority, "server", authority)
    running = transport("server", tls)

    async def answer(_peer, _message):
        return Done()

    running.handle(Nudge, answer)
    port = await running.listen("127.0.0.1", 0)
    yield running, tls, f"127.0.0.1:{port}"
    await running.close()


async def test_nodes_with_the_right_keys_talk(server, authority):
    client = transport("client", keys(authority, "client", authority))
    assert isinstance(await client.call(server[2], Nudge(1), 5.0), Done)
    await client.close()


async def test_a_node_with_a_strangers_key_is_refused(server, authority, other_authority):
    client = transport("client", keys(other_authority, "client", authority))
    with pytest.raises(PeerError):
        await client.call(server[2], Nudge(1), 2.0)
    plain = PeerTransport("plain", 1)
    with pytest.raises(PeerError):
        await plain.call(server[2], Nudge(1), 2.0)


async def test_keys_are_reloaded_without_a_restart(server, authority, other_authority, tmp_path):
    _, tls, address = server
    certificate, key = other_authority.sign("server")  # overwrites the server's files
    authority.file.write_bytes(other_authority.file.read_bytes())
    for file in (certificate, key, authority.file):
        os.utime(file, (1, 1))
    assert tls.reload_if_changed()
    client = transport("client", keys(other_authority, "client", other_authority))
    assert isinstance(await client.call(address, Nudge(1), 5.0), Done)
    await client.close()


def test_bad_new_keys_leave_the_old_ones_in_place(authority, tmp_path):
    tls = keys(authority, "server", authority)
    (tmp_path / "server.crt").write_text("broken")
    assert not tls.reload_if_changed()
    assert tls.peer_server_context() is not None


async def test_operators_paths_need_an_operators_key(authority, other_authority):
    platform = Platform()
    await platform.start(apps=1)
    await platform.apply(platform.documents())
    certificate, key = authority.sign("callers")
    tls = TlsSettings(
        callers_certificate=certificate, callers_key=key, operators_authority=authority.file
    )
    node = Node(settings_for(0, platform, [], tls=tls))
    await node.start()
    await eventually(node.is_ready)

    async def status(signer: Authority | None) -> int:
        context = ssl.create_default_context(cafile=str(authority.file))
        context.check_hostname = False
        if signer is not None:
            context.load_cert_chain(*signer.sign("operator"))
        async with aiohttp.ClientSession() as session:
            url = f"https://127.0.0.1:{node.caller_port}/operator/status"
            async with session.get(url, ssl=context) as answer:
                return answer.status

    assert await status(authority) == 200
    assert await status(None) == 403
    with pytest.raises(aiohttp.ClientError):
        await status(other_authority)
    await node.close()
    await platform.stop()
