"""One shared key keeps strangers from steering a fleet: ChaCha20-Poly1305 (RFC 8439), keys by HKDF (RFC
5869).

A datagram: version, first bytes of the key's SHA-256, life, number, then the sealed part; all before it is
authenticated too. Each life has a key of its own, derived from the shared one, under which its numbers are
the nonces: none comes twice. A stream's keys hold a number drawn by each side, one key for each way.

A key file has one key a line, 64 hexadecimal digits; the first seals, all open. So a new key is added behind
the old one everywhere, then put first everywhere, then the old one is taken away.
"""

from __future__ import annotations

import re
import struct
from collections import OrderedDict
from hashlib import sha256

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import ChaCha20Poly1305
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.kdf.hkdf import HKDF

VERSION = 1
DATAGRAM_HEADER = struct.Struct(">B4sQQ")
NONCE_BYTES = 16  # that each side of a stream draws
HELLO = struct.Struct(f">B4s{NONCE_BYTES}s")
MAX_KEYS = 2
MAX_CACHED_CIPHERS = 8192  # derived keys of lives that have shown to have the shared one
KEY_LINE = re.compile(r"[0-9a-fA-F]{64}")


class AuthenticationFailed(Exception):
    """Not sealed by a key of ours, or changed on its way."""


class InvalidKeyFile(ValueError):
    """A key file that can't be used: where, what was expected. Never what was found: it may be a key."""


def read_keys(text: str, path: str) -> tuple[bytes, ...]:
    """Raises InvalidKeyFile."""
    lines = [line.strip() for line in text.splitlines()]
    keys = []
    for place, line in enumerate(lines, 1):
        if not line or line.startswith("#"):
            continue
        if not KEY_LINE.fullmatch(line):
            raise InvalidKeyFile(f"{path}: line {place}: expected 64 hexadecimal digits")
        keys.append(bytes.fromhex(line))
    if not 1 <= len(keys) <= MAX_KEYS:
        raise InvalidKeyFile(
            f"{path}: {len(keys)} keys, expected 1, or {MAX_KEYS} while one replaces the other"
        )
    return tuple(keys)


def key_id(key: bytes) -> bytes:
    return sha256(b"flintlatch key" + key).digest()[:4]


def derive(key: bytes, salt: bytes, about: bytes) -> ChaCha20Poly1305:
    return ChaCha20Poly1305(HKDF(SHA256(), 32, salt, b"flintlatch " + about).derive(key))


class Seal:
    def __init__(self, keys: tuple[bytes, ...], run_id: int) -> None:
        self.run_id = run_id
        self.set_keys(keys)

    def set_keys(self, keys: tuple[bytes, ...]) -> None:
        self.keys = {key_id(key): key for key in keys}
        self.active_key_id = key_id(keys[0])
        self.send_cipher = derive(keys[0], self.run_id.to_bytes(8, "big"), b"datagram")
        self.receive_ciphers: OrderedDict[tuple[bytes, int], ChaCha20Poly1305] = OrderedDict()

    def encrypt(self, number: int, plain: bytes) -> bytes:
        head = DATAGRAM_HEADER.pack(VERSION, self.active_key_id, self.run_id, number)
        return head + self.send_cipher.encrypt(number.to_bytes(12, "big"), plain, head)

    def decrypt(self, data: bytes) -> tuple[int, int, bytes]:
        """Life, number, what was sealed. Raises AuthenticationFailed."""
        if len(data) < DATAGRAM_HEADER.size + 16:
            raise AuthenticationFailed("too short")
        head = data[: DATAGRAM_HEADER.size]
        version, name, run_id, number = DATAGRAM_HEADER.unpack(head)
        key = self.keys.get(name)
        if version != VERSION or key is None:
            raise AuthenticationFailed("another version or key")
        cipher = self.receive_ciphers.get((name, run_id)) or derive(
            key, run_id.to_bytes(8, "big"), b"datagram"
        )
        try:
            plain = cipher.decrypt(number.to_bytes(12, "big"), data[DATAGRAM_HEADER.size :], head)
        except InvalidTag:
            raise AuthenticationFailed("changed on its way, or forged") from None
        self.receive_ciphers[name, run_id] = cipher
        if len(self.receive_ciphers) > MAX_CACHED_CIPHERS:
            self.receive_ciphers.popitem(last=False)
        return run_id, number, plain


class StreamSeal:
    """One side of a stream, after both have drawn their numbers. Frames are counted: none can be left out."""

    def __init__(self, key: bytes, asker: bytes, asked: bytes, asks: bool) -> None:
        ways = derive(key, asker + asked, b"asker"), derive(key, asker + asked, b"asked")
        self.send_cipher, self.receive_cipher = ways if asks else ways[::-1]
        self.frames_sent = self.frames_received = 0

    def encrypt(self, plain: bytes) -> bytes:
        self.frames_sent += 1
        return self.send_cipher.encrypt(self.frames_sent.to_bytes(12, "big"), plain, None)

    def decrypt(self, data: bytes) -> bytes:
        """Raises AuthenticationFailed."""
        self.frames_received += 1
        try:
            return self.receive_cipher.decrypt(self.frames_received.to_bytes(12, "big"), data, None)
        except InvalidTag:
            raise AuthenticationFailed("changed on its way, or forged") from None
