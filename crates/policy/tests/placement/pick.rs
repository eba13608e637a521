//! The choice among engines.

use policy::{
    placement::{
        pick,
        stream_room,
        Bound,
        Candidate,
        Choice,
        Load,
        Part,
        Pick,
        PlacementRequest,
        Prompt,
        ReplicaKey,
        Tuning, //
    },
    quota::UsageStanding,
    AnswerState,
    ReplicaId,
    Span, //
};

fn engine(name: &str) -> Candidate {
    let id: ReplicaId = name.parse().unwrap();
    Candidate {
        key: ReplicaKey::of(&id),
        id,
        slots: 48,
        memory: 1_000_000,
        speed: 100.0,
        load: Load::default(),
        penalty: 0.0,
        room: 0.0,
        version: None,
        can_copy: true,
        cached_age_s: None,
    }
}

fn engines(n: usize) -> Vec<Candidate> {
    (0..n).map(|i| engine(&format!("i-{i}"))).collect()
}

fn prompt() -> Prompt {
    let part = |id, tokens| Part { id, tokens };
    Prompt {
        parts: vec![part(1, 500), part(2, 4_900), part(3, 6_600)],
        total: 12_000,
        output: 400,
    }
}

fn choose(engines: &[Candidate], share: f64) -> Pick {
    choose_for(engines, share, AnswerState::NotStarted)
}

fn choose_for(engines: &[Candidate], usage: f64, answer: AnswerState) -> Pick {
    let request = PlacementRequest {
        prompt: &prompt(),
        answer,
        target: Span::millis(400),
        shortest_target: Span::millis(250),
        usage: UsageStanding {
            share: usage,
            ..UsageStanding::default()
        },
        load_interval: Span::millis(100),
        spare: false,
        tuning: &Tuning::default(),
    };
    pick(engines, &request)
}

fn run(engines: &[Candidate], share: f64) -> Choice {
    match choose(engines, share) {
        Pick::Run(choice) => choice,
        other => panic!("{other:?}"),
    }
}

fn fill(engines: &mut [Candidate], id: &ReplicaId, running: u32) {
    let engine = engines.iter_mut().find(|e| e.id == *id).unwrap();
    engine.load.running = running;
}

#[test]
fn pick_same_preferred_each_time() {
    let mut all = engines(12);
    let preferred = run(&all, 0.0);
    assert_eq!(preferred.uncached, 6_600);
    all.reverse();
    assert_eq!(run(&all, 0.0).replica, preferred.replica);
}

#[test]
fn pick_preferred_with_cache_copies_nothing() {
    let mut all = engines(12);
    let preferred = run(&all, 0.0).replica;
    all.iter_mut()
        .find(|e| e.id == preferred)
        .unwrap()
        .cached_age_s = Some(1.0);
    assert_eq!(run(&all, 0.0).source, None);
}

#[test]
fn pick_preferred_without_cache_copies_from_the_other() {
    // Another router sent the first request with a document to the second preferred replica, where
    // a slot was free. This router knows of neither and chooses the first one, which would read the
    // document again.
    let mut all = engines(12);
    let preferred = run(&all, 0.0).replica;
    fill(&mut all, &preferred, 58);
    let other = run(&all, 0.0).replica;
    fill(&mut all, &preferred, 0);
    let choice = run(&all, 0.0);
    assert_eq!(choice.replica, preferred);
    assert_eq!(choice.source, Some(other));
}

#[test]
fn pick_second_preferred_copies() {
    // The first preferred replica of a popular document is full. If its requests read the document
    // again elsewhere, 5,400 tokens each time, reading takes up the engines.
    let mut all = engines(12);
    let preferred = run(&all, 0.0).replica;
    fill(&mut all, &preferred, 58);
    let second = run(&all, 0.0);
    assert_ne!(second.replica, preferred);
    assert_eq!(second.source, Some(preferred));
    assert_eq!(second.uncached, 6_600);
}

#[test]
fn pick_without_copies_reads_again() {
    let mut all = engines(12);
    let preferred = run(&all, 0.0).replica;
    fill(&mut all, &preferred, 58);
    all.iter_mut().for_each(|e| e.can_copy = false);
    let second = run(&all, 0.0);
    assert_eq!(second.uncached, 12_000);
    assert_eq!(second.source, None);
}

#[test]
fn pick_idle_engine_beyond_preferred() {
    let mut all = engines(12);
    let first = run(&all, 0.0).replica;
    fill(&mut all, &first, 58);
    let second = run(&all, 0.0).replica;
    fill(&mut all, &second, 58);
    let third = run(&all, 0.0).replica;
    assert!(third != first && third != second);
}

#[test]
fn pick_rejects_when_all_are_busy() {
    let mut all = engines(12);
    for engine in &mut all {
        engine.load.running = 58;
    }
    let Pick::Reject {
        retry_after,
        fullness,
        bound,
    } = choose(&all, 0.0)
    else {
        panic!("no engine has a free slot");
    };
    assert!(retry_after > Span::ZERO && retry_after <= Span::secs(2));
    assert!(fullness > 1.2);
    assert_eq!(bound, Bound::Slots);
}

/// Guards against a rejection that is attributed to slots, half of which are free, though the
/// reason is the backlog or failures of the engine.
#[test]
fn pick_rejection_names_the_limit_exceeded() {
    let bound = |change: &dyn Fn(&mut Candidate), share| {
        let mut all = engines(12);
        for engine in &mut all {
            engine.load.running = 22;
            change(engine);
        }
        match choose(&all, share) {
            Pick::Reject { bound, .. } => Some(bound),
            Pick::Run(_) => None,
        }
    };
    assert_eq!(bound(&|e| e.penalty = 0.9, 0.0), Some(Bound::Failures));
    assert_eq!(bound(&|e| e.load.unread = 9_000, 5.0), Some(Bound::Backlog));
    assert_eq!(bound(&|e| e.load.running = 58, 0.0), Some(Bound::Slots));
}

#[test]
fn pick_flood_rejected_first() {
    // One workspace floods the fleet. If all were rejected alike, a small workspace would lose as
    // large a fraction of its few requests as the flood of its many.
    let mut all = engines(12);
    for engine in &mut all {
        engine.load.running = 36;
    }
    assert!(matches!(choose(&all, 0.5), Pick::Run(_)));
    assert!(matches!(choose(&all, 3.0), Pick::Reject { .. }));
}

#[test]
fn pick_flood_has_idle_engines() {
    // No request is rejected while engines are idle, no matter how much its workspace has got.
    let mut all = engines(12);
    for engine in &mut all {
        engine.load.running = 18;
    }
    assert!(matches!(choose(&all, 50.0), Pick::Run(_)));
}

#[test]
fn pick_backlog_counts_for_the_shortest_target() {
    // Long prompts with a target of 400 ms share engines with short ones of 250 ms. A backlog that
    // is acceptable for the long ones makes every short one late.
    let mut all = engines(2);
    for engine in &mut all {
        engine.load.unread = 26_000;
    }
    assert!(matches!(choose(&all, 0.0), Pick::Reject { .. }));
}

#[test]
fn pick_memory_full() {
    let mut all = engines(2);
    for engine in &mut all {
        engine.load.memory = 1_020_000;
    }
    assert!(matches!(choose(&all, 0.0), Pick::Reject { .. }));
}

#[test]
fn pick_failing_engine_last() {
    let mut all = engines(12);
    let preferred = run(&all, 0.0).replica;
    let engine = all.iter_mut().find(|e| e.id == preferred).unwrap();
    engine.penalty = 1.5;
    assert_ne!(run(&all, 0.0).replica, preferred);
}

#[test]
fn pick_moves_little_when_an_engine_leaves() {
    // Every router computes the preferred replicas from the list. When one engine of twelve leaves,
    // the parts cached at the others must stay there.
    let all = engines(12);
    let preferred = |all: &[Candidate]| -> Vec<ReplicaId> {
        let mut preferred = Vec::new();
        for id in 0..300 {
            let mut prompt = prompt();
            prompt.parts[1].id = id;
            let request = PlacementRequest {
                answer: AnswerState::NotStarted,
                prompt: &prompt,
                target: Span::millis(400),
                shortest_target: Span::millis(250),
                usage: UsageStanding::default(),
                load_interval: Span::millis(100),
                spare: false,
                tuning: &Tuning::default(),
            };
            match pick(all, &request) {
                Pick::Run(choice) => preferred.push(choice.replica),
                other => panic!("{other:?}"),
            }
        }
        preferred
    };
    let (before, after) = (preferred(&all), preferred(&all[1..]));
    let lost = before.iter().filter(|id| **id == all[0].id).count();
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    assert_eq!(moved, lost);
    assert!((10..45).contains(&lost), "{lost}");
}

/// Guards against a workspace being rejected within its max-min share while engines are half idle.
/// Guards against rejecting a workspace that gets less than others while engines other than its
/// preferred ones are half idle.
#[test]
fn spill_limit_of_a_workspace_that_lags() {
    let tuning = Tuning::default();
    let limit = |shortfall, max_min_ratio, interval| {
        let standing = UsageStanding {
            share: 3.0,
            max_min_ratio,
            shortfall,
            ..UsageStanding::default()
        };
        tuning
            .spill_limit(standing, Span::millis(interval))
            .occupancy
    };
    assert!(limit(0.5, 0.9, 100) > 0.5);
    assert!(limit(0.1, 0.9, 100) <= 0.3);
    assert!(limit(0.5, 1.2, 100) <= 0.3);
    assert!(limit(0.5, 0.9, 300) <= 0.3);
}

#[test]
fn pick_max_min_share_at_a_half_idle_engine() {
    let mut all = engines(4);
    for engine in &mut all {
        engine.slots = 12;
        engine.load.running = 6;
    }
    let short = Prompt {
        parts: vec![Part { id: 1, tokens: 100 }, Part { id: 2, tokens: 200 }],
        total: 300,
        output: 100,
    };
    let request = PlacementRequest {
        answer: AnswerState::NotStarted,
        prompt: &short,
        target: Span::millis(400),
        shortest_target: Span::millis(250),
        usage: UsageStanding {
            share: 3.0,
            max_min_ratio: 0.5,
            ..UsageStanding::default()
        },
        load_interval: Span::millis(100),
        spare: false,
        tuning: &Tuning::default(),
    };
    let picked = pick(&all, &request);
    assert!(matches!(picked, Pick::Run(_)), "{picked:?}");
}

/// Guards against a stream that is aborted because its workspace has had its share and engines are
/// full.
#[test]
fn pick_started_where_all_are_full() {
    let mut all = engines(3);
    for engine in &mut all {
        engine.load.running = 60;
        engine.load.unread = 200_000;
    }
    assert!(matches!(choose(&all, 5.0), Pick::Reject { .. }));
    assert!(matches!(
        choose_for(&all, 5.0, AnswerState::Started),
        Pick::Run(_)
    ));
}

/// Guards against a stream that waits at its preferred replica while another engine has a free
/// slot.
#[test]
fn pick_started_shortest_queue() {
    let mut all = engines(6);
    let preferred = run(&all, 0.0).replica;
    for engine in &mut all {
        engine.load.running = 60;
    }
    let free = all.iter().find(|e| e.id != preferred).unwrap().id.clone();
    fill(&mut all, &free, 40);
    let Pick::Run(choice) = choose_for(&all, 5.0, AnswerState::Started) else {
        panic!("rejected");
    };
    assert_eq!(choice.replica, free);
}

/// Guards against rejecting a stream that its caller takes up again as if it were a new one.
#[test]
fn pick_resumed_where_all_are_full() {
    let mut all = engines(3);
    for engine in &mut all {
        engine.load.running = 60;
    }
    assert!(matches!(choose(&all, 5.0), Pick::Reject { .. }));
    assert!(matches!(
        choose_for(&all, 5.0, AnswerState::Resumed),
        Pick::Run(_)
    ));
}

/// Guards against new requests that take the room which streams of a version with few engines need.
#[test]
fn pick_leaves_room_for_streams() {
    let mut all = engines(1);
    all[0].room = stream_room(1, 8);
    all[0].load.running = 24;
    assert!(matches!(choose(&all, 0.0), Pick::Run(_)));
    // Half of 48 slots, and the fifth more that a workspace within its share may queue.
    all[0].load.running = 29;
    assert!(matches!(choose(&all, 0.0), Pick::Reject { .. }));
    all[0].room = 0.0;
    assert!(matches!(choose(&all, 0.0), Pick::Run(_)));
}

/// The streams of one more engine fit into what the engines of a version leave.
#[test]
fn stream_room_of_one_more_engine() {
    for own in 1..8 {
        let room = stream_room(own, 8);
        let streams = (own as f64) * (1.0 - room);
        let moved = 1.0 - room;
        assert!(streams + moved <= own as f64 + 1e-9, "{own} engines");
    }
    assert_eq!(stream_room(8, 8), 0.0);
}

/// Guards against an engine that continues a prompt with what another software version has cached.
#[test]
fn pick_copies_from_its_own_version() {
    let mut all = engines(6);
    for engine in &mut all {
        engine.version = "v1".parse().ok();
    }
    let (best, source) = {
        let choice = run(&all, 0.0);
        (choice.replica, choice.source.unwrap())
    };
    for engine in all.iter_mut().filter(|e| e.id != best) {
        engine.version = "v2".parse().ok();
    }
    assert_eq!(run(&all, 0.0).source, None);
    for engine in all.iter_mut().filter(|e| e.id == source) {
        engine.version = "v1".parse().ok();
    }
    assert_eq!(run(&all, 0.0).source, Some(source));
}

/// Guards against rejections of long prompts, or of a workspace beyond its share, while the service has
/// engines that no request needs.
#[test]
fn pick_with_engines_to_spare() {
    let long = Prompt {
        parts: prompt().parts,
        total: 54_600,
        output: 400,
    };
    let choose = |spare, running| {
        let mut all = engines(12);
        for engine in &mut all {
            engine.load.running = running;
        }
        let request = PlacementRequest {
            prompt: &long,
            answer: AnswerState::NotStarted,
            target: Span::millis(500),
            shortest_target: Span::millis(300),
            usage: UsageStanding {
                share: 3.0,
                max_min_ratio: 3.0,
                ..UsageStanding::default()
            },
            load_interval: Span::millis(100),
            spare,
            tuning: &Tuning::default(),
        };
        pick(&all, &request)
    };
    assert!(matches!(choose(true, 4), Pick::Run(_)));
    assert!(matches!(choose(false, 4), Pick::Reject { .. }));
    // The slots of an engine stay its limit.
    assert!(matches!(choose(true, 60), Pick::Reject { .. }));
}
