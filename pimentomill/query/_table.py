"""Answers as text."""

__all__ = ["format_table"]

COLUMN_SEPARATOR = "  "


def format_table(header: list[str], rows: list[list[str]]) -> str:
    """Return rows as aligned columns under a header.

    Parameters
    ----------
    header : list of str
        Names of the columns.
    rows : list of list of str
        Cells, as many in each row as there are columns.

    Returns
    -------
    str
        Lines without trailing spaces.

    Examples
    --------
    >>> print(format_table(["team", "share"], [["planting", "30"]]))
    team      share
    planting  30
    """
    lines = [header, *rows]
    widths = [max(len(cell) for cell in column) for column in zip(*lines, strict=True)]
    return "\n".join(
        COLUMN_SEPARATOR.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
