//! Tests of what the configuration says about services.

use {
    super::{
        Config,
        Engine,
        Route,
        RouteKind,
        Service, //
    },
    policy::{
        placement::Tuning,
        ServiceId, //
    },
    std::time::Duration,
};

/// Returns whether the engines with these targets, in milliseconds, are all tolerant.
fn is_tolerant(targets: &[Option<u64>]) -> bool {
    let mut config = Config::default();
    for (i, target) in targets.iter().enumerate() {
        let name: ServiceId = format!("s{i}").parse().unwrap();
        let engine = Engine {
            slots: 1,
            memory_tokens: 1,
            copies_cache: false,
        };
        let service = Service {
            engine: Some(engine),
            warmup: None,
        };
        config.services.insert(name.clone(), service);
        if let Some(target) = target {
            config.add_route("a.example", stream_route(name, *target));
        }
    }
    // A plain service has no say in it.
    let plain = "plain".parse().unwrap();
    config.services.insert(plain, Service::default());
    config.is_tolerant(&Tuning::default())
}

fn stream_route(service: ServiceId, target_ms: u64) -> Route {
    Route {
        name: service.to_string(),
        prefix: "/".into(),
        kind: RouteKind::Stream { resume: false },
        timeout: Duration::from_secs(4),
        latency_target: Duration::from_millis(target_ms),
        split: vec![(service, 1)],
        max_attempts: 1,
        public: true,
        regions: Vec::new(),
    }
}

/// Guards against late reports where callers expect events early.
#[test]
fn is_tolerant_if_all_engines_are() {
    assert!(is_tolerant(&[Some(800), Some(600)]));
    assert!(!is_tolerant(&[Some(800), Some(599)]));
    assert!(!is_tolerant(&[Some(800), None]));
    assert!(!is_tolerant(&[]));
}
