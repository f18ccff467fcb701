"""flintlatch: the decisions of an HTTP load balancer run as a small bank of proxies."""

from flintlatch.api import Settings
from flintlatch.choice import Balancer

__all__ = ["Balancer", "Settings"]
__version__ = "0.1.0"
