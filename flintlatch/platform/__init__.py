"""The platform's protocol as two sides of an exchange: short bodies are buffered completely before they are
passed on, long bodies are passed on while they arrive."""

from flintlatch.platform.build import build
from flintlatch.platform.engine import PlatformEngine
from flintlatch.platform.front import PlatformFrontend
from flintlatch.platform.memory import PROCESS_BYTES

__all__ = ["PROCESS_BYTES", "PlatformEngine", "PlatformFrontend", "build"]
