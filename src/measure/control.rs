//! Measures how the traffic between routers grows with the fleet.

use {
    super::{
        fleet::{
            self,
            Run,
            Script, //
        },
        plan::even,
        setup::{
            Setup,
            CAPACITY, //
        },
        show::{
            max,
            mean, //
        },
    },
    crate::{
        cli::table,
        errors::Error,
        slopes::{
            fit,
            Point, //
        },
    },
    serde::Serialize,
    std::time::Duration,
};

/// The parameters that vary, and their values; the others are as in [`USUAL`].
const AXES: [(Axis, &[usize]); 4] = [
    (Axis::Routers, &[2, 4, 8, 16]),
    (Axis::Workspaces, &[4, 16, 48]),
    (Axis::Replicas, &[5, 10, 20, 40]),
    (Axis::Gap, &[10, 20, 40]),
];
const USUAL: Size = Size {
    routers: 8,
    workspaces: 16,
    replicas: 10,
    gap: 40,
};
/// Callers per slot, enough that every workspace always has queued requests.
const PRESS: usize = 3;
const HEADER: [&str; 10] = [
    "varies",
    "routers",
    "workspaces",
    "replicas",
    "answers/s",
    "sent B/s mean",
    "max",
    "received B/s mean",
    "max",
    "utilisation %",
];

/// A parameter that varies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Axis {
    Routers,
    Workspaces,
    Replicas,
    /// Time between tokens, which determines how many requests end per second.
    Gap,
}

/// The size of one fleet.
#[derive(Debug, Clone, Copy, Serialize)]
struct Size {
    routers: usize,
    workspaces: usize,
    replicas: usize,
    /// Time between tokens in milliseconds.
    gap: usize,
}

/// The result of one run.
#[derive(Debug, Serialize)]
struct Row {
    axis: Axis,
    size: Size,
    /// Bytes per second of a router.
    sent: Rate,
    received: Rate,
    both: Rate,
    /// Fraction of a core.
    cpu: Rate,
    answered: f64,
    utilisation: f64,
    gap: f64,
}

#[derive(Debug, Clone, Copy, Serialize)]
struct Rate {
    mean: f64,
    max: f64,
}

/// What one unit of a parameter adds, in bytes per second of a router.
#[derive(Debug, Serialize)]
struct Slope {
    axis: Axis,
    mean: f64,
    max: f64,
}

#[derive(Debug, Serialize)]
struct Table {
    rows: Vec<Row>,
    slopes: Vec<Slope>,
}

/// Measures fleets of several sizes and prints the slopes.
pub(crate) async fn run(time: Duration, json: bool) -> Result<(), Error> {
    let mut rows = Vec::new();
    for (axis, values) in AXES {
        for value in values {
            rows.push(one(axis, *value, time).await?);
        }
    }
    let slopes = AXES.iter().map(|(axis, _)| slope(*axis, &rows)).collect();
    show(&Table { rows, slopes }, json);
    Ok(())
}

async fn one(axis: Axis, value: usize, time: Duration) -> Result<Row, Error> {
    let size = USUAL.with(axis, value);
    let slots = size.replicas * CAPACITY as usize;
    let callers = (slots * PRESS).div_ceil(size.workspaces);
    let mut setup = Setup::new("fleet", even(size.workspaces, callers, size.routers));
    setup.routers = size.routers;
    setup.replicas = size.replicas;
    setup.gap = Duration::from_millis(size.gap as u64);
    let script = Script {
        time,
        ..Script::default()
    };
    let run = fleet::run(&setup, &script).await?;
    Ok(row(axis, size, &run))
}

impl Size {
    fn with(mut self, axis: Axis, value: usize) -> Size {
        match axis {
            Axis::Routers => self.routers = value,
            Axis::Workspaces => self.workspaces = value,
            Axis::Replicas => self.replicas = value,
            Axis::Gap => self.gap = value,
        }
        self
    }

    fn value(&self, axis: Axis) -> f64 {
        let value = match axis {
            Axis::Routers => self.routers,
            Axis::Workspaces => self.workspaces,
            Axis::Replicas => self.replicas,
            Axis::Gap => self.gap,
        };
        value as f64
    }
}

fn row(axis: Axis, size: Size, run: &Run) -> Row {
    let rate = |of: fn(&super::snapshot::Rates) -> f64| {
        let values: Vec<f64> = run.routers.iter().map(of).collect();
        Rate {
            mean: mean(&values),
            max: max(&values),
        }
    };
    Row {
        axis,
        size,
        sent: rate(|r| r.sent),
        received: rate(|r| r.received),
        both: rate(|r| r.sent + r.received),
        cpu: rate(|r| r.cpu),
        answered: run.answered,
        utilisation: run.utilisation,
        gap: run.gap_settled,
    }
}

/// Fits a line through the runs of one axis.
fn slope(axis: Axis, rows: &[Row]) -> Slope {
    let line = |of: fn(&Row) -> f64| {
        let along = rows.iter().filter(|r| r.axis == axis);
        let points = along.map(|r| Point {
            size: r.size.value(axis),
            cost: of(r),
        });
        fit(&points.collect::<Vec<_>>()).slope
    };
    Slope {
        axis,
        mean: line(|r| r.both.mean),
        max: line(|r| r.both.max),
    }
}

fn show(t: &Table, json: bool) {
    if json {
        let text = serde_json::to_string_pretty(t).unwrap_or_default();
        println!("{text}");
        return;
    }
    println!("{}", table(&HEADER, 1, t.rows.iter().map(cells).collect()));
    for s in &t.slopes {
        println!(
            "one more of {:?}: {:.0} B/s sent and received by the mean router, {:.0} by the busiest",
            s.axis, s.mean, s.max
        );
    }
}

fn cells(r: &Row) -> Vec<String> {
    vec![
        format!("{:?}", r.axis),
        r.size.routers.to_string(),
        r.size.workspaces.to_string(),
        r.size.replicas.to_string(),
        format!("{:.0}", r.answered),
        format!("{:.0}", r.sent.mean),
        format!("{:.0}", r.sent.max),
        format!("{:.0}", r.received.mean),
        format!("{:.0}", r.received.max),
        format!("{:.1}", r.utilisation * 100.0),
    ]
}
