"""Cluster membership of the fleets, and the entries that members publish to each other.

`Member` is fed events (`DatagramReceived`, `Tick`, `Leave`, `InstancesChanged`) with the time, and returns
actions (`SendDatagram`, `Sync`, `Changed`, `EntriesReceived`, `LogLine`). Its part `Peers` keeps the
membership, its part `EntryStore` the published entries. `flintlatch.peers.shell` runs a member on sockets.
docs/design/peers.md has the reasons and the bounds.
"""

from flintlatch.peers.census import Census, CensusView, FleetPosition
from flintlatch.peers.core import (
    Action,
    Changed,
    Event,
    InstancesChanged,
    Leave,
    LogLine,
    Peers,
    Received,
    Send,
    Sync,
    Synced,
    Tick,
)
from flintlatch.peers.member import (
    DatagramReceived,
    EntriesReceived,
    Envelope,
    Member,
    SendDatagram,
    SyncMessage,
)
from flintlatch.peers.model import Kind, Malformed, Message, Record, Rules, State, View, check_record
from flintlatch.peers.words import Entry, EntryStore, Merge, PublishedEntry, Topic

__all__ = [
    "Action",
    "Census",
    "CensusView",
    "Changed",
    "DatagramReceived",
    "EntriesReceived",
    "Entry",
    "EntryStore",
    "Envelope",
    "Event",
    "FleetPosition",
    "InstancesChanged",
    "Kind",
    "Leave",
    "LogLine",
    "Malformed",
    "Member",
    "Merge",
    "Message",
    "Peers",
    "PublishedEntry",
    "Received",
    "Record",
    "Rules",
    "Send",
    "SendDatagram",
    "State",
    "Sync",
    "SyncMessage",
    "Synced",
    "Tick",
    "Topic",
    "View",
    "check_record",
]
