//! Operators who change the configuration at the same time.

use {
    crate::common::{
        client,
        platform,
        rash,
        run,
        write, //
    },
    async_std::task,
    futures_lite::future::{
        or,
        zip, //
    },
    kvstore::{
        store::{
            read,
            ApplyError,
            Base,
            Revision, //
        },
        Kv,
    },
    standins::platform::Handle,
    std::{
        sync::Arc,
        time::Duration, //
    },
};

/// Lines that each operator adds.
const LINES: usize = 8;

// Two operators press enter at the same moment, day after day. If both were told "applied",
// one change would be lost and nobody would know.
#[test]
fn apply_two_racing() {
    run(async {
        let platform = platform().await;
        let (a, b) = (client(&platform, "a"), client(&platform, "b"));
        let mut on = Base::default();
        for round in 1..=200 {
            let text = |name| format!("{name} in round {round}");
            let (ada_text, ben_text) = (text("ada"), text("ben"));
            let ada = write(&a, "ada", on, 0, &ada_text);
            let ben = write(&b, "ben", on, 0, &ben_text);
            let (ada, ben) = zip(ada, ben).await;
            let (won, won_text, lost) = match (ada, ben) {
                (Ok(_), Err(e)) => ("ada", ada_text, e),
                (Err(e), Ok(_)) => ("ben", ben_text, e),
                both => panic!("round {round}: {both:?}"),
            };
            let expected = ApplyError::Conflict {
                revision: Revision(round),
                writer: won.to_owned(),
            };
            assert_eq!(lost, expected);
            let config = read(&a, &[]).await.unwrap().unwrap();
            assert_eq!(&*config.parts[0].text, won_text);
            on = config.base();
        }
    });
}

/// Adds `count` lines to the document, one by one, as an operator who tries until it works.
/// Returns the revision at which each was accepted.
async fn add_lines(kv: Kv, name: &'static str, count: usize) -> Vec<(Revision, String)> {
    let mut accepted = Vec::new();
    let mut doubtful = None;
    while accepted.len() < count {
        let Ok(config) = read(&kv, &[]).await else {
            task::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let base = config.as_ref().map(|c| c.base()).unwrap_or_default();
        let old: Arc<str> = config.map_or("".into(), |c| c.parts[0].text.clone());
        let line = format!("{name} {}\n", accepted.len());
        if old.contains(&line) {
            let revision = doubtful.expect("a line comes only of a write that may have run");
            accepted.push((revision, line));
            continue;
        }
        let text = format!("{old}{line}");
        match write(&kv, name, base, 0, &text).await {
            Ok(done) => accepted.push((done.revision, line)),
            Err(ApplyError::Conflict { .. } | ApplyError::NotApplied(_)) => {}
            Err(ApplyError::Unknown { revision, .. }) => doubtful = Some(revision),
            Err(e) => panic!("{e}"),
        }
    }
    accepted
}

// Four operators add lines, while answers are lost and connections go silent. Each line that
// was accepted must be in the document once, in the order of the revisions.
#[test]
fn apply_four_racing_under_faults() {
    run(async {
        let platform = platform().await;
        let names = ["ada", "ben", "eve", "joy"];
        let start = |name| task::spawn(add_lines(rash(&platform, name), name, LINES));
        let running: Vec<_> = names.into_iter().map(start).collect();
        let all = async {
            let mut all = Vec::new();
            for task in running {
                all.extend(task.await);
            }
            Some(all)
        };
        let faults = async {
            inject(&platform).await;
            None
        };
        let all = or(all, faults).await;
        let mut all = all.expect("the faults never end by themselves");
        platform.lose_answers(0);
        all.sort();
        let revisions: Vec<u64> = all.iter().map(|(r, _)| r.0).collect();
        let count = (names.len() * LINES) as u64;
        assert_eq!(revisions, (1..=count).collect::<Vec<_>>());
        let expected: String = all.into_iter().map(|(_, line)| line).collect();
        let kv = client(&platform, "reader");
        let config = read(&kv, &[]).await.unwrap().unwrap();
        assert_eq!(&*config.parts[0].text, expected);
    });
}

/// Loses answers and silences connections until it is dropped, each after so many writes.
///
/// Faults that came by time would lose every answer of operators who have become slow by
/// them, and the test would take minutes.
async fn inject(platform: &Handle) {
    let mut rng = fastrand::Rng::with_seed(7);
    loop {
        match rng.u32(0..4) {
            0 => platform.silence(),
            n => platform.lose_answers(n),
        }
        let next = platform.calls("put") + rng.u64(8..20);
        while platform.calls("put") < next {
            task::sleep(Duration::from_millis(1)).await;
        }
    }
}
