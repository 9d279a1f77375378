"""Plain-text tables."""

__all__ = ["format_table"]

COLUMN_SEPARATOR = "  "


def format_table(header: list[str], rows: list[list[str]]) -> str:
    """Format rows as aligned columns under a header.

    Parameters
    ----------
    header : list of str
        Column names.
    rows : list of list of str
        Cells of each row, one per column.

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
