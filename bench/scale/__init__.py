"""The parts of `bench.capacity`: one module per subject, each with `run(seed, small) -> list[Series]`."""
