"""Authenticated encryption of peer traffic with a shared key.

The cipher is ChaCha20-Poly1305 (RFC 8439); keys are derived by HKDF (RFC 5869). A datagram consists of the
version, the first bytes of the key's SHA-256, the sender's run id and a number, followed by the encrypted
part; the header is authenticated too. Each run of a member has its own key, derived from the shared one, and
uses the numbers as nonces, so no nonce is used twice. The keys of a stream are derived from a nonce of each
side, one key for each direction.

A key file holds one key per line, 64 hexadecimal digits; the first key encrypts, all keys decrypt. To rotate
the key, the new one is added after the old one in every file, then moved to the first line in every file,
then the old one is removed.
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
NONCE_BYTES = 16  # drawn by each side of a stream
HELLO = struct.Struct(f">B4s{NONCE_BYTES}s")
MAX_KEYS = 2
MAX_CACHED_CIPHERS = 8192  # of runs that have authenticated with a shared key
KEY_LINE = re.compile(r"[0-9a-fA-F]{64}")


class AuthenticationFailed(Exception):
    """Data that was not sealed with a known key, or was changed in transit."""


class InvalidKeyFile(ValueError):
    """A key file that can't be used. The text has the position and what was expected, but never the line
    itself: that may be a key."""


def read_keys(text: str, path: str) -> tuple[bytes, ...]:
    """Raises InvalidKeyFile."""
    lines = [line.strip() for line in text.splitlines()]
    keys = []
    for line_number, line in enumerate(lines, 1):
        if not line or line.startswith("#"):
            continue
        if not KEY_LINE.fullmatch(line):
            raise InvalidKeyFile(f"{path}: line {line_number}: expected 64 hexadecimal digits")
        keys.append(bytes.fromhex(line))
    if not 1 <= len(keys) <= MAX_KEYS:
        raise InvalidKeyFile(
            f"{path}: {len(keys)} keys, expected 1, or {MAX_KEYS} while one replaces the other"
        )
    return tuple(keys)


def key_id(key: bytes) -> bytes:
    return sha256(b"flintlatch key" + key).digest()[:4]


def derive_cipher(key: bytes, salt: bytes, purpose: bytes) -> ChaCha20Poly1305:
    return ChaCha20Poly1305(HKDF(SHA256(), 32, salt, b"flintlatch " + purpose).derive(key))


class Seal:
    """Encrypts and decrypts datagrams."""

    def __init__(self, keys: tuple[bytes, ...], run_id: int) -> None:
        self.run_id = run_id
        self.set_keys(keys)

    def set_keys(self, keys: tuple[bytes, ...]) -> None:
        self.keys = {key_id(key): key for key in keys}
        self.active_key_id = key_id(keys[0])
        self.send_cipher = derive_cipher(keys[0], self.run_id.to_bytes(8, "big"), b"datagram")
        self.receive_ciphers: OrderedDict[tuple[bytes, int], ChaCha20Poly1305] = OrderedDict()

    def encrypt(self, number: int, plaintext: bytes) -> bytes:
        header = DATAGRAM_HEADER.pack(VERSION, self.active_key_id, self.run_id, number)
        return header + self.send_cipher.encrypt(number.to_bytes(12, "big"), plaintext, header)

    def decrypt(self, data: bytes) -> tuple[int, int, bytes]:
        """Returns the sender's run id, the datagram number and the plaintext. Raises AuthenticationFailed."""
        if len(data) < DATAGRAM_HEADER.size + 16:
            raise AuthenticationFailed(f"{len(data)} bytes, expected at least {DATAGRAM_HEADER.size + 16}")
        header = data[: DATAGRAM_HEADER.size]
        version, sender_key_id, run_id, number = DATAGRAM_HEADER.unpack(header)
        key = self.keys.get(sender_key_id)
        if version != VERSION or key is None:
            raise AuthenticationFailed(f"version {version}, expected {VERSION}, or an unknown key")
        cipher = self.receive_ciphers.get((sender_key_id, run_id)) or derive_cipher(
            key, run_id.to_bytes(8, "big"), b"datagram"
        )
        try:
            plaintext = cipher.decrypt(number.to_bytes(12, "big"), data[DATAGRAM_HEADER.size :], header)
        except InvalidTag:
            raise AuthenticationFailed("authentication tag does not match") from None
        self.receive_ciphers[sender_key_id, run_id] = cipher
        if len(self.receive_ciphers) > MAX_CACHED_CIPHERS:
            self.receive_ciphers.popitem(last=False)
        return run_id, number, plaintext


class StreamSeal:
    """Encrypts and decrypts the frames of one side of a stream, after the nonces have been exchanged.

    Frames are numbered, so a dropped, repeated or reordered frame fails to decrypt."""

    def __init__(
        self, key: bytes, initiator_nonce: bytes, responder_nonce: bytes, is_initiator: bool
    ) -> None:
        ciphers = (
            derive_cipher(key, initiator_nonce + responder_nonce, b"asker"),
            derive_cipher(key, initiator_nonce + responder_nonce, b"asked"),
        )
        self.send_cipher, self.receive_cipher = ciphers if is_initiator else ciphers[::-1]
        self.frames_sent = self.frames_received = 0

    def encrypt(self, plaintext: bytes) -> bytes:
        self.frames_sent += 1
        return self.send_cipher.encrypt(self.frames_sent.to_bytes(12, "big"), plaintext, None)

    def decrypt(self, data: bytes) -> bytes:
        """Raises AuthenticationFailed."""
        self.frames_received += 1
        try:
            return self.receive_cipher.decrypt(self.frames_received.to_bytes(12, "big"), data, None)
        except InvalidTag:
            raise AuthenticationFailed("authentication tag does not match") from None
