package org.arbutuslock.cli.internal;

import java.util.ArrayList;
import java.util.List;

/** Text table with left-aligned columns. An empty cell is shown as "-". */
final class Table {
    private static final String COLUMN_SEPARATOR = "  ";

    private final List<List<String>> mRows = new ArrayList<>();

    Table(String... headings) {
        mRows.add(List.of(headings));
    }

    void addRow(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            String text = String.valueOf(cell);
            row.add(text.isEmpty() ? "-" : text);
        }
        mRows.add(row);
    }

    void print(Output output) {
        int[] widths = computeColumnWidths();
        for (List<String> row : mRows) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < row.size(); column++) {
                String cell = row.get(column);
                line.append(cell)
                        .append(" ".repeat(widths[column] - cell.length()))
                        .append(COLUMN_SEPARATOR);
            }
            output.printLine(line.toString().stripTrailing());
        }
    }

    private int[] computeColumnWidths() {
        int[] widths = new int[mRows.getFirst().size()];
        for (List<String> row : mRows) {
            for (int column = 0; column < row.size(); column++) {
                widths[column] = Math.max(widths[column], row.get(column).length());
            }
        }
        return widths;
    }
}
