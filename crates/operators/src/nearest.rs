//! Suggests a known name for a mistyped one.

/// Largest edit distance at which a known name is suggested.
const MAX_EDIT_DISTANCE: usize = 3;

/// Returns the known name with the smallest edit distance to `name`, if it is small enough.
pub(crate) fn nearest<'k>(name: &str, known: &[&'k str]) -> Option<&'k str> {
    let limit = MAX_EDIT_DISTANCE.min(name.len().div_ceil(2));
    known
        .iter()
        .map(|k| (edit_distance(name, k), *k))
        .filter(|(n, _)| *n <= limit)
        .min()
        .map(|(_, k)| k)
}

/// Returns the Levenshtein distance of two names.
fn edit_distance(a: &str, b: &str) -> usize {
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
