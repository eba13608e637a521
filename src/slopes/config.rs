//! The configuration: reading it, keeping it, passing on a change.

use {
    super::{
        memory::bytes_of,
        series::{
            points,
            Series, //
        },
    },
    crate::router::History,
    kvstore::store::{
        split,
        Config,
        Revision,
        WriteId, //
    },
    operators::{
        Document,
        Fleet,
        Loader,
        Source, //
    },
    policy::Time,
    std::{
        fmt::Write,
        time::Instant, //
    },
};

const SIZES: [usize; 5] = [16, 400, 1_600, 3_200, 6_100];
const TARGET: f64 = 6_100.0;
/// Changes a second at 64,000 a day.
const CHANGES: f64 = 64_000.0 / 86_400.0;
/// Changes made for each figure.
const TRIES: usize = 40;
/// Bytes of the two HTTP heads of a question to a peer.
const HEADS: f64 = 280.0;

fn series(name: &'static str, cost: &'static str, of: fn(usize) -> f64) -> Series {
    Series {
        name,
        role: "configuration",
        size: "workspaces",
        cost,
        target: TARGET,
        points: points(&SIZES, of),
    }
}

pub(crate) fn memory() -> Vec<Series> {
    vec![series("config-memory", "KB", |n| {
        bytes_of(8, || fleet(n)) / 1e3
    })]
}

pub(crate) fn measure() -> Vec<Series> {
    vec![
        series("config-delta", "bytes/s received for changes", delta),
        series("config-whole", "bytes/s if all were sent", |n| {
            text(n, None).len() as f64 * CHANGES
        }),
        series("config-time", "% of a core to read changes", core),
        series("config-rules", "% of a core to put changes in force", rules),
    ]
}

/// Writes a configuration, with one workspace's share changed.
fn text(n: usize, changed: Option<usize>) -> String {
    let mut text = operators::FLEET.to_owned();
    for i in 0..n {
        let share = if changed == Some(i) { 3 } else { 1 + i % 4 };
        let _ = write!(
            text,
            "[workspace.workspace-{i:05}]\nshare = {share}\nqueue = 100\n\n"
        );
    }
    text
}

fn config(revision: u64, text: &str) -> Config {
    Config {
        revision: Revision(revision),
        writer: "operator".to_owned(),
        write: WriteId::random(),
        parts: split("fleet", text),
    }
}

fn delta(n: usize) -> f64 {
    let old = config(1, &text(n, None));
    let mut bytes = 0;
    for i in 0..TRIES {
        let mut history = History::default();
        history.push(&old);
        let new = config(2, &text(n, Some(i * n / TRIES)));
        let delta = history.delta(&new, old.revision);
        bytes += rmp_serde::to_vec(&delta).map_or(0, |b| b.len());
    }
    (bytes as f64 / TRIES as f64 + HEADS) * CHANGES
}

fn core(n: usize) -> f64 {
    let configs: Vec<Config> = (0..TRIES)
        .map(|i| config(2, &text(n, Some(i * n / TRIES))))
        .collect();
    let mut loader = Loader::default();
    let begin = Instant::now();
    for c in &configs {
        assert!(
            loader.load(c).is_ok(),
            "the generated configuration is valid"
        );
    }
    begin.elapsed().as_secs_f64() / TRIES as f64 * CHANGES * 100.0
}

fn fleet(n: usize) -> (Config, Fleet) {
    let text = text(n, None);
    let document = Document::parse(&Source::from_text("fleet.toml", &text));
    let document = document.expect("the generated configuration is valid");
    (config(1, &text), Fleet::new(document))
}

/// Time to put the rules of 27 models in force.
fn rules(n: usize) -> f64 {
    let mut text = text(n, None);
    for i in 0..25 {
        let _ = write!(text, "[service.model-{i}]\nkind = \"model\"\n\n");
    }
    let document = Document::parse(&Source::from_text("fleet.toml", &text));
    let document = document.expect("the generated configuration is valid");
    let mut dispatch = super::model::empty();
    let rounds = 5;
    let begin = Instant::now();
    for _ in 0..rounds {
        dispatch.configure(crate::router::rules(&document), Time(0));
    }
    begin.elapsed().as_secs_f64() / f64::from(rounds) * CHANGES * 100.0
}
