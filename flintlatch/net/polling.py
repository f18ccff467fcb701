"""Asks the kernel for the state of a descriptor without waiting."""

from __future__ import annotations

import fcntl
import select
import struct

SIOCOUTQ = 0x5411  # linux/sockios.h
INT = struct.Struct("=i")

# A signal ends poll(2) with EINTR. Without a time to wait, Python then returns no event instead of asking
# again (PEP 475 repeats only what remains of the timeout).
POLL_ATTEMPTS = 3


def has_event(descriptor: int, events: int) -> bool:
    """Whether the kernel reports any of these poll events, or an error."""
    poll = select.poll()
    poll.register(descriptor, events)
    return any(poll.poll(0) for _ in range(POLL_ATTEMPTS))


def unacknowledged_bytes(descriptor: int) -> int:
    """Bytes written to a TCP connection that the peer's machine does not have yet, tcp(7); 0 if the kernel
    does not tell."""
    try:
        return int(INT.unpack(fcntl.ioctl(descriptor, SIOCOUTQ, bytes(INT.size)))[0])
    except OSError:
        return 0
