//! The choice among engines alone.

use {
    policy::{
        placement::{
            pick,
            Candidate,
            Load,
            Part,
            PlacementRequest,
            Prompt,
            ReplicaKey,
            Tuning, //
        },
        quota::UsageStanding,
        AnswerState,
        ReplicaId,
        Span, //
    },
    std::{
        hint::black_box,
        time::Instant, //
    },
};

const PASSES: u32 = 20_000;

/// Prints how long one decision among so many engines takes.
pub(crate) fn measure(engines: usize) {
    let candidates: Vec<Candidate> = (0..engines).map(candidate).collect();
    let begun = Instant::now();
    for n in 0..PASSES {
        let part = |id, tokens| Part { id, tokens };
        let prompt = Prompt {
            parts: vec![
                part(1, 512),
                part(u64::from(n % 500), 4_870),
                part(7, 6_610),
            ],
            total: 11_992,
            output: 378,
        };
        let request = PlacementRequest {
            prompt: &prompt,
            answer: AnswerState::NotStarted,
            target: Span::millis(400),
            shortest_target: Span::millis(250),
            usage: UsageStanding::default(),
            load_interval: Span::millis(100),
            spare: false,
            tuning: &Tuning::default(),
        };
        black_box(pick(black_box(&candidates), &request));
    }
    let each = begun.elapsed() / PASSES;
    println!(
        "placement among {engines} engines: {:.1} us",
        each.as_secs_f64() * 1e6
    );
}

fn candidate(n: usize) -> Candidate {
    let id: ReplicaId = format!("i-{n:010x}").parse().unwrap();
    Candidate {
        key: ReplicaKey::of(&id),
        id,
        slots: 32,
        memory: 715_203,
        speed: 157.0,
        load: Load {
            running: 12 + n as u32 % 12,
            unread: 4_000,
            memory: 200_000,
        },
        penalty: 0.0,
        room: 0.0,
        version: None,
        can_copy: true,
        cached_age_s: None,
    }
}
