//! Shares and capacity: what one router sends and spends.

use {
    super::{
        memory::bytes_of,
        model::{
            node,
            run,
            Cost,
            Size,
            MODEL, //
        },
        series::{
            points,
            Series, //
        },
    },
    std::collections::HashMap, //
};

/// Whole fleets, in proportion to letter 1's; the largest that one run carries in minutes.
const FLEETS: [usize; 3] = [27, 54, 108];

pub(crate) fn measure() -> Vec<Series> {
    let by_router = [4, 14, 28];
    let by_waiting = [1, 45, 90];
    let by_replica = [28, 222, 444];
    let mut all = grown(
        "routers of a model",
        MODEL.routers,
        &by_router,
        ["dispatch-routers", "dispatch-routers-time"],
        |n| Size {
            routers: n,
            ..MODEL
        },
    );
    all.extend(grown(
        "workspaces backlogged at a model",
        MODEL.backlogged,
        &by_waiting,
        ["dispatch-backlogged", "dispatch-backlogged-time"],
        |n| Size {
            backlogged: n,
            ..MODEL
        },
    ));
    all.extend(grown(
        "replicas of a model",
        MODEL.replicas,
        &by_replica,
        ["dispatch-replicas", "dispatch-replicas-time"],
        |n| Size {
            replicas: n,
            ..MODEL
        },
    ));
    all.extend(grown(
        "routers, 27 models",
        370,
        &FLEETS,
        ["dispatch-fleet", "dispatch-fleet-time"],
        |n| Size {
            routers: n,
            services: 27,
            replicas: 12_000 * n / 370,
            workspaces: 6_100,
            backlogged: 610,
        },
    ));
    all
}

pub(crate) fn memory() -> Vec<Series> {
    vec![Series {
        name: "dispatch-memory",
        role: "shares and capacity",
        size: "replicas known, 27 models",
        cost: "KB",
        target: 12_000.0,
        points: points(&[27, 3_000, 6_000, 12_000], |n| {
            let size = Size {
                routers: 370,
                services: 27,
                replicas: n,
                workspaces: 6_100,
                backlogged: 0,
            };
            bytes_of(2, || node(0, size)) / 1e3
        }),
    }]
}

fn grown(
    size: &'static str,
    target: usize,
    sizes: &[usize],
    names: [&'static str; 2],
    of: impl Fn(usize) -> Size,
) -> Vec<Series> {
    let costs: HashMap<usize, Cost> = sizes.iter().map(|&n| (n, run(of(n)))).collect();
    let series = |cost, pick: fn(&Cost) -> f64, name| Series {
        name,
        role: "shares and capacity",
        size,
        cost,
        target: target as f64,
        points: points(sizes, |n| pick(&costs[&n])),
    };
    vec![
        series("bytes/s sent by one", |c| c.sent, names[0]),
        series("% of a core at one", |c| c.core, names[1]),
    ]
}
