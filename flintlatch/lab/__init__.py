"""Simulates fleets in virtual time: the real cores run on an event queue and a network with faults."""
