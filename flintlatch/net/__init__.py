"""The proxy on real sockets: carries out the actions of the decision module."""
