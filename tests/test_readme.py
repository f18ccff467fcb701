"""The example in the README runs as printed."""

import re
from pathlib import Path

import pytest


def test_example(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    exec(compile(code, "README.md", "exec"), {})
    assert capsys.readouterr().out == "req-1 goes to one of two: True\n"
