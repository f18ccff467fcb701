"""The parts of `bench.capacity`: one file a subject, each with `run(seed, small) -> list[Series]`."""
