"""Collects the figures of a benchmark and writes them as JSON and HTML."""

from __future__ import annotations

import html
import json
import pathlib
import platform

import attrs

RESULTS = pathlib.Path(__file__).parent / 'results'
BAR_WIDTH = 360


@attrs.frozen
class Figure:
    """One measured number.

    Attributes:
      name: Name of the quantity, as group/case/quantity.
      value: Measured value.
      unit: Unit of the value.
      most: Regression bound: the largest value allowed, or None.
      least: Regression bound: the smallest value allowed, or None.
    """

    name: str
    value: float
    unit: str = ''
    most: float | None = None
    least: float | None = None

    @property
    def is_within_bounds(self) -> bool:
        """Whether the value is within the regression bounds, if any."""
        low = self.least is None or self.value >= self.least
        return low and (self.most is None or self.value <= self.most)


@attrs.define
class Report:
    """The results of one benchmark.

    Attributes:
      name: Name of the benchmark.
      figures: Measured figures, in order.
      notes: Conditions of the run that a reader needs.
    """

    name: str
    figures: list[Figure] = attrs.Factory(list)
    notes: list[str] = attrs.Factory(list)

    def add(
        self,
        name: str,
        value: float,
        unit: str = '',
        most: float | None = None,
        least: float | None = None,
    ) -> None:
        """Adds a figure; set bounds only on ratios within one run."""
        self.figures.append(Figure(name, value, unit, most, least))

    def list_violations(self) -> list[Figure]:
        """Returns the figures outside their regression bounds."""
        return [
            figure for figure in self.figures if not figure.is_within_bounds
        ]

    def write(self, folder: pathlib.Path = RESULTS) -> None:
        """Writes NAME.json and NAME.html."""
        folder.mkdir(parents=True, exist_ok=True)
        document = {
            'name': self.name,
            'python': platform.python_version(),
            'notes': self.notes,
            'figures': [attrs.asdict(figure) for figure in self.figures],
        }
        text = json.dumps(document, indent=1) + '\n'
        (folder / f'{self.name}.json').write_text(text, 'utf-8')
        (folder / f'{self.name}.html').write_text(_render_html(self), 'utf-8')


def _render_html(report: Report) -> str:
    largest: dict[str, float] = {}
    for figure in report.figures:
        largest[figure.unit] = max(
            largest.get(figure.unit, 0.0), abs(figure.value)
        )
    rows = ''.join(_render_row(f, largest[f.unit]) for f in report.figures)
    notes = ''.join(f'<p>{html.escape(note)}</p>' for note in report.notes)
    return (
        '<!doctype html><meta charset="utf-8">'
        f'<title>{html.escape(report.name)}</title>'
        '<style>body{font:14px sans-serif}td{padding:2px 8px}</style>'
        f'<h1>{html.escape(report.name)}</h1>{notes}<table>{rows}</table>\n'
    )


def _render_row(figure: Figure, largest: float) -> str:
    share = abs(figure.value) / largest if largest else 0.0
    colour = 'steelblue' if figure.is_within_bounds else 'firebrick'
    bound = ''
    if figure.most is not None:
        bound = f'at most {figure.most:g}'
    if figure.least is not None:
        bound = f'at least {figure.least:g}'
    return (
        f'<tr><td>{html.escape(figure.name)}</td>'
        f'<td align="right">{figure.value:.4g} {html.escape(figure.unit)}</td>'
        f'<td><svg width="{BAR_WIDTH}" height="12"><rect height="12" '
        f'width="{share * BAR_WIDTH:.1f}" fill="{colour}"/></svg></td>'
        f'<td>{bound}</td></tr>'
    )
