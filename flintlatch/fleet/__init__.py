"""A fleet: a supervisor and its workers, each one instance of the proxy. Others call `run` and `send_control_request`."""
