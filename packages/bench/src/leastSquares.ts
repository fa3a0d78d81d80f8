/** Returns the coefficients that minimise the squared error of `targets` against linear combinations of `rows`. */
export function solveLeastSquares(rows: readonly (readonly number[])[], targets: readonly number[]): number[] {
    const width = rows[0]?.length ?? 0;
    const indices = Array.from({ length: width }, (_unused, index) => index);
    const dot = (left: (position: number) => number, right: (position: number) => number): number =>
        rows.reduce((total, _row, position) => total + left(position) * right(position), 0);
    const column = (index: number) => (position: number): number => rows[position]?.[index] ?? 0;
    const matrix = indices.map(row => [
        ...indices.map(other => dot(column(row), column(other))),
        dot(column(row), position => targets[position] ?? 0),
    ]);
    return eliminate(matrix);
}

/** Solves a system of equations, given as rows with the right side last, by Gauss-Jordan elimination. */
function eliminate(matrix: readonly (readonly number[])[]): number[] {
    const solved = matrix.reduce<readonly (readonly number[])[]>((rows, _row, pivot) => {
        const best = rows.reduce(
            (found, row, index) =>
                index >= pivot && Math.abs(row[pivot] ?? 0) > Math.abs(rows[found]?.[pivot] ?? 0) ? index : found,
            pivot,
        );
        const pivotRow = rows[best] ?? [];
        const unit = pivotRow.map(value => value / (pivotRow[pivot] ?? 1));
        const swapped = rows.map((row, index) => index === best ? rows[pivot] ?? row : row);
        return swapped.map((row, index) =>
            index === pivot ? unit : row.map((value, at) => value - (row[pivot] ?? 0) * (unit[at] ?? 0))
        );
    }, matrix);
    return solved.map(row => row.at(-1) ?? 0);
}
