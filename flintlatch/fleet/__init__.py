"""A fleet: a supervisor and its workers, each one instance of the proxy."""
