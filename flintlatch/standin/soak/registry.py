"""The registry of the soak: answers in every valid form, and in many that are not whole or late."""

from __future__ import annotations

import asyncio
from enum import Enum
from random import Random
from typing import Any

import orjson

from flintlatch.net.clock import now_ms
from flintlatch.standin.registry import Registry
from flintlatch.standin.soak.audit import RegistryFacts

MAX_BAD_ANSWERS = 2  # in a row, so that the registry counts as reachable
SILENCE_S = 4.0  # longer than any call waits
LATE_S = 0.8


class AnswerForm(Enum):
    """How an answer is written."""

    WHOLE = "whole"
    INDENTED = "indented"
    CHUNKED = "chunked"
    PIECES = "in pieces"
    NO_LENGTH = "no length, then a close"
    CUT = "cut by a close"
    RESET = "reset"
    TOO_LONG = "length too long"
    TOO_SHORT = "length too short"
    TWICE = "twice"
    LATE = "late"
    SILENT = "silent in the middle"
    UNAVAILABLE = "503"


VALID_FORMS = (
    AnswerForm.WHOLE, AnswerForm.INDENTED, AnswerForm.CHUNKED, AnswerForm.PIECES, AnswerForm.NO_LENGTH,
    AnswerForm.LATE,
)  # fmt: skip
BAD_FORMS = (
    AnswerForm.CUT, AnswerForm.RESET, AnswerForm.TOO_LONG, AnswerForm.TOO_SHORT, AnswerForm.TWICE,
    AnswerForm.SILENT, AnswerForm.UNAVAILABLE,
)  # fmt: skip
# Two silences in a row would leave no time for a good answer.
QUICK_BAD_FORMS = tuple(form for form in BAD_FORMS if form is not AnswerForm.SILENT)


class SoakRegistry(Registry):
    """One of the registry's addresses; all addresses share `entries` and the facts of the audit."""

    def __init__(self, seed: int, facts: RegistryFacts, entries: dict[str, dict[str, Any]]) -> None:
        super().__init__()
        self.random = Random(f"{seed}/registry")
        self.facts, self.entries = facts, entries
        self.bad_fraction = 0.0  # of the answers
        self.snapshot_fraction = Random(f"{seed}/form").choice((0.1, 0.5, 1.0))  # instead of deltas

    def renumber(self, rev: int) -> None:
        """Behave like a restarted service that numbers its revisions anew."""
        self.rev, self.changes = rev, []
        self.changed.set()
        self.changed = asyncio.Event()

    def _form(self) -> AnswerForm:
        if self.random.random() < self.bad_fraction and self.facts.bad_answers_since < MAX_BAD_ANSWERS:
            forms = BAD_FORMS if not self.facts.bad_answers_since else QUICK_BAD_FORMS
            self.facts.bad_answers_since += 1
            return self.random.choice(forms)
        self.facts.bad_answers_since = 0
        return self.random.choice(VALID_FORMS) if self.bad_fraction else AnswerForm.WHOLE

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.calls.append(now_ms())
                if self.down:
                    self.facts.on_unreachable(now_ms())
                status, body = await self._answer(head.split(b" ", 2)[1].decode())
                if reader.at_eof() or not await self._write(writer, status, body):
                    return  # at the end of the caller's side nothing that is written is told
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _answer(self, request_target: str) -> tuple[int, bytes]:
        status, body = await super()._answer(request_target)
        if status == 200 and self.random.random() < self.snapshot_fraction:
            return status, self._snapshot()
        return status, body

    async def _write(self, writer: asyncio.StreamWriter, status: int, body: bytes) -> bool:
        """Writes an answer in a form that is drawn. False if the connection has to end."""
        form = self._form() if status == 200 else AnswerForm.WHOLE
        if form is AnswerForm.INDENTED:
            body = orjson.dumps(orjson.loads(body), option=orjson.OPT_INDENT_2)
        if form is AnswerForm.UNAVAILABLE:
            status, body = 503, b""
        if form is AnswerForm.LATE:
            await asyncio.sleep(self.random.uniform(0.1, LATE_S))
        length = len(body)
        if form is AnswerForm.TOO_LONG:
            length += self.random.randint(1, 50)
        elif form is AnswerForm.TOO_SHORT:
            length -= self.random.randint(1, min(20, length - 1))
        line = b"HTTP/1.1 %d X\r\n" % status
        if form is AnswerForm.CHUNKED:
            message = line + b"transfer-encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        elif form is AnswerForm.NO_LENGTH:
            message = line + b"\r\n" + body
        else:
            message = line + b"content-length: %d\r\n\r\n%b" % (length, body)
        if form in (AnswerForm.CUT, AnswerForm.RESET, AnswerForm.SILENT):
            return await self._write_part(writer, form, message, body)
        if form is AnswerForm.PIECES:
            size = self.random.choice((1, 7, 40, 300))
            for start in range(0, len(message), size):
                writer.write(message[start : start + size])
                await asyncio.sleep(0)
        else:
            writer.write(message * (2 if form is AnswerForm.TWICE else 1))
        await writer.drain()
        if status == 200 and form is not AnswerForm.TOO_SHORT:
            self._record_told(body)
        return form not in (AnswerForm.NO_LENGTH, AnswerForm.TOO_LONG, AnswerForm.TOO_SHORT)

    async def _write_part(
        self, writer: asyncio.StreamWriter, form: AnswerForm, message: bytes, body: bytes
    ) -> bool:
        """Writes the beginning of an answer. Whole entries in it count as told."""
        cut = self.random.randint(0, len(message) - 1)
        writer.write(message[:cut])
        await writer.drain()
        sent = body[: max(cut - (len(message) - len(body)), 0)]
        if form is not AnswerForm.RESET:  # a reset may discard what was written before it
            for entry in orjson.loads(body)["targets"]:
                if entry["state"] != "active" and orjson.dumps(entry) in sent:
                    self.facts.on_told(entry["uid"], now_ms())
        if form is AnswerForm.SILENT:
            await asyncio.sleep(SILENCE_S)
        if form is AnswerForm.RESET:
            await asyncio.sleep(0.01)
            writer.transport.abort()
        return False

    def _record_told(self, body: bytes) -> None:
        """Records what a whole answer tells."""
        content = orjson.loads(body)
        named = {entry["uid"]: entry for entry in content["targets"]}
        now = now_ms()
        for uid in list(self.facts.changed_ms):
            if (uid in named and named[uid]["state"] != "active") or (content["all"] and uid not in named):
                self.facts.on_told(uid, now)
        for uid, entry in named.items():
            listed = self.entries.get(uid)
            if listed is not None and entry["boot_ms"] and entry["boot_ms"] == listed["boot_ms"]:
                self.facts.start_told.add(uid)
