"""Tests that the capacity page agrees with the data file and marks figures that were not measured."""

from __future__ import annotations

from pathlib import Path

import pytest

from bench.scale import data, page, rows
from bench.scale.data import Series


def series(name: str, *points: tuple[float, float]) -> Series:
    return Series(name, "servers", "ms", points, "hollow")


@pytest.mark.parametrize("path", page.PAGES, ids=lambda path: path.name)
def test_tables_of_the_pages_match_the_data_file(path: Path) -> None:
    text = path.read_text()
    assert page.page(text, data.read()) == text, "run: python -m bench.capacity --page --write"


def test_the_page_has_every_table_and_is_short() -> None:
    text = page.PAGES[0].read_text()
    names = {name for _, name, _ in page.TABLE.findall(text)}
    assert names == {"today", "ahead", "who", "roles", "days", "slopes", "missing"}
    assert len(text.splitlines()) <= 150


def test_series_with_too_few_sizes_to_extrapolate_are_marked() -> None:
    found = data.read()
    short_series = [
        s.name for s in found.values() if not s.allows_extrapolation() and not s.name.startswith("day.")
    ]
    table = page.slopes_table(found, tuple(found))
    for name in short_series:
        (line,) = [one for one in table.splitlines() if one.startswith(f"| {name} (")]
        assert "few sizes" in line


def test_figure_states_its_provenance() -> None:
    found = {"a": series("a", (10, 1.0), (100, 10.0), (1000, 100.0), (10_000, 1000.0))}
    measured, between, beyond = (rows.figure_at(found, "a", n) for n in (1000, 5500, 100_000))
    assert measured is not None and between is not None and beyond is not None
    assert (measured.value, measured.provenance) == (100.0, "measured at 1,000")
    assert between.value == pytest.approx(550.0) and between.provenance.startswith("between")
    assert beyond.value == pytest.approx(10_000.0) and "extrapolated x 10" in beyond.provenance
    assert rows.figure_at(found, "b", 10) is None


def test_no_line_is_fitted_through_a_bend() -> None:
    straight = data.fit(((1, 2.0), (10, 11.0), (100, 101.0), (1000, 1001.0)))
    assert straight.line is not None and straight.residual < 0.01
    bent = data.fit(((1, 1.0), (10, 10.0), (100, 100.0), (1000, 20_000.0)))
    assert bent.line is None and "bends" in bent.formula
    assert bent.predict(10_000) == pytest.approx(20_000 * 200, rel=1e-6)


def test_exceeded_guarantee_is_the_worst_ratio() -> None:
    name = "day.ordinary.staleness_999_s"
    within_budget, over_budget = ({name: series(name, (2200, value))} for value in (1.0, 26.0))
    assert page.worst_ratios(within_budget)[0] < 1 and page.worst_ratios(over_budget)[0] == pytest.approx(2.0)
    # a row that was not measured does not count
    assert page.worst_ratios(within_budget)[1] == 1 and page.worst_ratios({})[1] == 0
    overall = page.worst_ratios(data.read())
    assert overall[0] <= 1 and overall[1] == overall[2]


def test_series_are_stored_completely_and_replaced_by_name(tmp_path: Path) -> None:
    file = tmp_path / "data.json"
    data.write([series("a", (1, 1.0)), series("b", (1, 2.0))], file)
    data.write([series("a", (2, 3.0))], file)
    assert data.read(file) == {"a": series("a", (2, 3.0)), "b": series("b", (1, 2.0))}
