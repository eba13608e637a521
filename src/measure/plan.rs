//! The workspaces, and the routers that their callers keep to.

/// The requests of one workspace.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    /// Its name.
    pub(crate) name: String,
    /// Its share.
    pub(crate) share: f64,
    /// Requests that it sends concurrently.
    pub(crate) callers: usize,
    /// The routers that its callers use, by number.
    pub(crate) homes: Vec<usize>,
    /// Fewest and most tokens of one request.
    pub(crate) tokens: (u32, u32),
    /// It floods the fleet.
    pub(crate) floods: bool,
}

/// Name, share, callers, routers, most tokens.
type Row = (&'static str, f64, usize, &'static [usize], u32);

/// Three workspaces flood two or three routers; the others are small and stand beside them
/// or elsewhere, and the last has one caller.
const ROWS: [Row; 16] = [
    ("flood-1", 1.0, 80, &[0, 1], 64),
    ("flood-2", 1.0, 60, &[0], 64),
    ("flood-3", 1.0, 60, &[1, 2], 64),
    ("small-1", 1.0, 16, &[0], 32),
    ("small-2", 1.0, 16, &[1], 32),
    ("small-3", 1.0, 16, &[2], 32),
    ("small-4", 1.0, 16, &[2, 3], 32),
    ("small-5", 1.0, 16, &[3], 32),
    ("small-6", 1.0, 16, &[3, 4], 32),
    ("small-7", 1.0, 16, &[4], 32),
    ("small-8", 1.0, 16, &[4, 5, 6], 32),
    ("small-9", 1.0, 16, &[5, 6], 32),
    ("small-10", 1.0, 16, &[6, 7], 32),
    ("double-1", 2.0, 28, &[5], 32),
    ("double-2", 2.0, 28, &[1, 2, 6], 32),
    ("single", 1.0, 1, &[0], 32),
];
/// Fewest tokens of one request.
const LEAST: u32 = 16;
/// Factor by which a calm load has fewer callers.
const CALM: usize = 12;
const FLOODS: &str = "flood";

/// Returns an uneven load.
pub(crate) fn uneven(routers: usize) -> Vec<Plan> {
    let rows = ROWS.iter();
    rows.map(|(name, share, callers, homes, most)| Plan {
        name: (*name).to_owned(),
        share: *share,
        callers: *callers,
        homes: homes.iter().map(|h| h % routers).collect(),
        tokens: (LEAST, *most),
        floods: name.starts_with(FLOODS),
    })
    .collect()
}

/// Leaves each workspace so few callers that about half of the capacity is used.
pub(crate) fn calm(mut plans: Vec<Plan>) -> Vec<Plan> {
    for plan in &mut plans {
        plan.callers = plan.callers.div_ceil(CALM).max(plan.homes.len());
    }
    plans
}

/// Returns `n` equal workspaces with `callers` each, every one at two of the routers.
pub(crate) fn even(n: usize, callers: usize, routers: usize) -> Vec<Plan> {
    let plans = (0..n).map(|i| Plan {
        name: format!("even-{}", i + 1),
        share: 1.0,
        callers,
        homes: vec![i % routers, (i * 3 + 1) % routers],
        tokens: (LEAST, 2 * LEAST),
        floods: false,
    });
    plans.collect()
}
