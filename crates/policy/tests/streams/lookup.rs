//! The decision what began a stream that is taken up again.

use policy::{
    streams::{
        Knowledge,
        KnownStream,
        Lookup,
        OriginSource,
        StreamOrigin,
        Unknown, //
    },
    Span, //
};

/// Longer than any stream of these tests.
const SPAN: Span = Span::secs(30);

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: "s".parse().unwrap(),
        version: version.parse().ok(),
    }
}

/// What a router knows that has no record of the stream, and that has known these versions for long.
fn knows(versions: &[&str]) -> Knowledge {
    Knowledge {
        record: None,
        recent: versions.iter().map(|v| origin(v)).collect(),
        known_for: Span::secs(60),
        list_age: Some(Span::secs(1)),
    }
}

fn recorded(version: &str) -> Knowledge {
    Knowledge {
        record: Some(KnownStream {
            origin: origin(version),
            age: Span::secs(2),
        }),
        ..knows(&["v1", "v2"])
    }
}

fn decide(
    own: Knowledge,
    asked: usize,
    answers: &[Knowledge],
) -> Result<(StreamOrigin, OriginSource), Unknown> {
    let mut lookup = Lookup::new(own, asked, 0, SPAN);
    answers.iter().for_each(|a| lookup.add(a.clone()));
    lookup.finish().map(|found| (found.origin, found.source))
}

#[test]
fn finish_with_a_record() {
    let own = decide(recorded("v1"), 2, &[]);
    assert_eq!(own, Ok((origin("v1"), OriginSource::Own)));
    let peer = decide(knows(&["v2"]), 2, &[knows(&["v2"]), recorded("v1")]);
    assert_eq!(peer, Ok((origin("v1"), OriginSource::Peer)));
}

#[test]
fn is_complete_with_a_record() {
    let mut lookup = Lookup::new(knows(&["v1"]), 3, 0, SPAN);
    assert!(!lookup.is_complete());
    lookup.add(knows(&["v1"]));
    assert!(!lookup.is_complete());
    lookup.add(recorded("v1"));
    assert!(lookup.is_complete());
}

#[test]
fn is_complete_with_all_answers() {
    assert!(Lookup::new(knows(&["v1"]), 0, 0, SPAN).is_complete());
    let mut lookup = Lookup::new(knows(&["v1"]), 1, 0, SPAN);
    lookup.add(knows(&["v1"]));
    assert!(lookup.is_complete());
}

#[test]
fn finish_with_one_version() {
    let only = Ok((origin("v1"), OriginSource::OnlyVersion));
    assert_eq!(decide(knows(&["v1"]), 0, &[]), only);
    assert_eq!(decide(knows(&["v1"]), 2, &[knows(&["v1"])]), only);
    // A router that has just started learns for how long that holds.
    let new = Knowledge {
        known_for: Span::secs(1),
        ..knows(&["v1"])
    };
    assert_eq!(decide(new, 2, &[knows(&["v1"])]), only);
}

/// Guards against a guess where a release is known to this router or to another one only.
#[test]
fn finish_with_two_versions() {
    let unknown = Err(Unknown::NotRecorded);
    assert_eq!(decide(knows(&["v1", "v2"]), 1, &[knows(&["v1"])]), unknown);
    assert_eq!(decide(knows(&["v1"]), 1, &[knows(&["v2"])]), unknown);
    assert_eq!(decide(knows(&[]), 1, &[knows(&[])]), unknown);
}

/// Guards against trusting the versions of a router that was just started.
#[test]
fn finish_with_new_routers_only() {
    let new = Knowledge {
        known_for: Span::secs(29),
        ..knows(&["v1"])
    };
    let answers = [new.clone()];
    assert_eq!(decide(new, 1, &answers), Err(Unknown::NotRecorded));
}

/// Guards against trusting the versions of a router that is cut off from all others.
#[test]
fn finish_without_an_answer() {
    assert_eq!(decide(knows(&["v1"]), 2, &[]), Err(Unknown::Unreached));
}

/// Guards against trusting the versions of an old list.
#[test]
fn finish_with_an_old_list() {
    let old = Knowledge {
        list_age: Some(Span::secs(11)),
        ..knows(&["v1"])
    };
    let never = Knowledge {
        list_age: None,
        ..knows(&["v1"])
    };
    for own in [old.clone(), never] {
        let unknown = Err(Unknown::NotRecorded);
        assert_eq!(decide(own.clone(), 1, std::slice::from_ref(&old)), unknown);
        assert!(decide(own, 1, &[knows(&["v1"])]).is_ok());
    }
}

/// Guards against trusting the versions of the few routers that answer while those that were told of the
/// stream don't.
#[test]
fn finish_with_few_answers() {
    let few = decide(knows(&["v1"]), 8, &[knows(&["v1"])]);
    assert_eq!(few, Err(Unknown::OutOfContact));
    // The router that began the stream may have ended.
    let all_but_one = decide(knows(&["v1"]), 2, &[knows(&["v1"])]);
    assert_eq!(all_but_one, Ok((origin("v1"), OriginSource::OnlyVersion)));
    // A record decides whoever is missing.
    let record = decide(knows(&["v1"]), 8, &[recorded("v2")]);
    assert_eq!(record, Ok((origin("v2"), OriginSource::Peer)));
}

/// Guards against the same where the others are not asked any more, as they have been silent for long.
#[test]
fn finish_while_others_are_silent() {
    let decide = |silent| {
        let mut lookup = Lookup::new(knows(&["v1"]), 1, silent, SPAN);
        lookup.add(knows(&["v1"]));
        lookup
    };
    assert!(decide(1).finish().is_ok());
    let mut lookup = decide(5);
    assert_eq!(lookup.finish(), Err(Unknown::OutOfContact));
    lookup.confirm(knows(&["v1"]));
    assert!(lookup.finish().is_ok());
    lookup.confirm(knows(&["v1", "v2"]));
    assert_eq!(lookup.finish(), Err(Unknown::NotRecorded));
}

/// Guards against joining the long knowledge of a router with an old list and the fresh list of one that
/// was just started: a version may have come and gone between the two.
#[test]
fn finish_with_a_list_and_knowledge_of_two_routers() {
    let old = Knowledge {
        list_age: Some(Span::secs(11)),
        ..knows(&["v1"])
    };
    let new = Knowledge {
        known_for: Span::secs(1),
        ..knows(&["v1"])
    };
    assert_eq!(decide(old, 1, &[new]), Err(Unknown::NotRecorded));
}
