"""Tests of the capacity runs by counts instead of times, so that they are stable in CI."""
