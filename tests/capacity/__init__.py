"""What capacity runs measure, held in CI by counts."""
