"""Asks the kernel for the state of a descriptor without waiting."""

from __future__ import annotations

import select

# A signal ends poll(2) with EINTR. Without a time to wait, Python then returns no event instead of asking
# again (PEP 475 repeats only what remains of the timeout).
POLL_ATTEMPTS = 3


def has_event(descriptor: int, events: int) -> bool:
    """Whether the kernel reports any of these poll events, or an error."""
    poll = select.poll()
    poll.register(descriptor, events)
    return any(poll.poll(0) for _ in range(POLL_ATTEMPTS))
