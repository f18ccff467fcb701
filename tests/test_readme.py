"""The example in the README runs and prints the given output."""

import re
from pathlib import Path

import pytest


def test_readme_example_prints_its_output(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    exec(compile(code, "README.md", "exec"), {})
    assert capsys.readouterr().out == "req-1 goes to one of two: True\n"
