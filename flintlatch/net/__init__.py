"""The proxy on real sockets: carries out what the decision module decides."""
