use {
    super::{
        Gap,
        Point,
        Quantiles, //
    },
    policy::WorkspaceId,
};

fn point(name: &str, backlogged: bool, service: f64) -> Point {
    Point {
        workspace: WorkspaceId::try_from(name.to_owned()).unwrap(),
        backlogged,
        service,
    }
}

#[test]
fn gap_counts_range() {
    let mut gap = Gap::default();
    // What they had before both waited does not count.
    gap.sample(&[point("a", true, 500.0), point("b", true, 100.0)]);
    gap.sample(&[point("a", true, 510.0), point("b", true, 140.0)]);
    gap.sample(&[point("a", true, 560.0), point("b", true, 150.0)]);
    assert_eq!(gap.widest(), 40.0);
}

#[test]
fn gap_ends_with_backlog() {
    let mut gap = Gap::default();
    gap.sample(&[point("a", true, 0.0), point("b", true, 0.0)]);
    gap.sample(&[point("a", true, 900.0), point("b", false, 0.0)]);
    gap.sample(&[point("a", true, 950.0), point("b", true, 0.0)]);
    assert_eq!(gap.widest(), 0.0);
}

#[test]
fn quantiles_of_hundred() {
    let values = (1..=100).rev().map(f64::from).collect();
    let q = Quantiles::of(values);
    assert_eq!((q.p50, q.p95, q.p99), (50.0, 95.0, 99.0));
}

#[test]
fn quantiles_of_none() {
    assert_eq!(Quantiles::of(Vec::new()).p99, 0.0);
}
