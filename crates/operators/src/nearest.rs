//! The known name that is nearest to a mistyped one.

/// Most changes at which a name still counts as a mistyped one.
const CHANGES_MAX: usize = 3;

/// Returns the known name that `name` was probably meant to be.
pub(crate) fn nearest<'k>(name: &str, known: &[&'k str]) -> Option<&'k str> {
    let limit = CHANGES_MAX.min(name.len().div_ceil(2));
    known
        .iter()
        .map(|k| (changes(name, k), *k))
        .filter(|(n, _)| *n <= limit)
        .min()
        .map(|(_, k)| k)
}

/// Counts the letters to insert, remove or replace to get from `a` to `b`.
fn changes(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let replace = diagonal + usize::from(x != *y);
            diagonal = row[j + 1];
            row[j + 1] = replace.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
