"""Which fleets there are: members that know of each other while links fail, and the words that they carry.

`Member` is fed events (`Opened`, `Tick`, `Leave`, `Altered`) with the time, and returns actions (`Post`,
`Sync`, `Changed`, `News`, `Told`); `Peers` is the part of it that says who is there, `Carrier` the part that
carries words. `flintlatch.peers.shell` puts it on sockets. docs/design/peers.md has the reasons and the
bounds.
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
