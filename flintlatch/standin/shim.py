"""Loads `shim.c` into a process and controls the faults that it injects into system calls and clocks."""

from __future__ import annotations

import mmap
import os
import shutil
import struct
import subprocess
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
COMPILE_TIMEOUT_S = 60.0


class CallFault(IntEnum):
    """The faults, in the order of `enum fault` in shim.c."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    INTERRUPT = 3  # a wait that ends with EINTR
    SHORT = 4  # a read or write of fewer bytes than possible
    BROKEN = 5  # ETIMEDOUT or EHOSTUNREACH on a connection that the process has opened
    HOLD = 6  # 150 ms before a call
    DISK = 7  # ENOSPC, EIO or a short write


PROBABILITIES = struct.Struct(f"<{len(CallFault)}I")
COUNTS = PROBABILITIES
OFFSET = struct.Struct("<q")
SEED = struct.Struct("<I")
COUNTS_AT = PROBABILITIES.size
OFFSET_AT = COUNTS_AT + COUNTS.size
SEED_AT = OFFSET_AT + OFFSET.size
CONTROL_BYTES = 128


def compile_shim(folder: Path) -> Path:
    """Compiles the shim into a folder. Raises FileNotFoundError if there is no C compiler."""
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise FileNotFoundError("cc: no C compiler; the soak needs one for its system call faults")
    library = folder / "shim.so"
    command = [compiler, "-shared", "-fPIC", "-O2", "-o", str(library), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True, timeout=COMPILE_TIMEOUT_S)
    return library


class Shim:
    """The faults of the processes started with `environment`."""

    def __init__(self, library: Path, control_file: Path, seed: int) -> None:
        self.library, self.control_file = library, control_file
        control_file.write_bytes(bytes(CONTROL_BYTES))
        with open(control_file, "r+b") as file:
            self.memory = mmap.mmap(file.fileno(), CONTROL_BYTES)
        SEED.pack_into(self.memory, SEED_AT, seed & 0xFFFFFFFF)

    def environment(self) -> dict[str, str]:
        return {"LD_PRELOAD": os.fspath(self.library), "FLINTLATCH_SHIM": os.fspath(self.control_file)}

    def set_probability(self, fault: CallFault, probability: float) -> None:
        """The probability of the fault for each call that it applies to."""
        struct.pack_into("<I", self.memory, 4 * fault, int(probability * 1e6))

    def clear(self) -> None:
        for fault in CallFault:
            self.set_probability(fault, 0.0)

    def injected(self) -> dict[CallFault, int]:
        counts = COUNTS.unpack_from(self.memory, COUNTS_AT)
        return dict(zip(CallFault, counts, strict=True))

    @property
    def wall_offset_s(self) -> float:
        return float(OFFSET.unpack_from(self.memory, OFFSET_AT)[0]) / 1e9

    def step_wall_clock(self, by_s: float) -> None:
        offset_ns = int((self.wall_offset_s + by_s) * 1e9)
        OFFSET.pack_into(self.memory, OFFSET_AT, offset_ns)

    def close(self) -> None:
        self.memory.close()
