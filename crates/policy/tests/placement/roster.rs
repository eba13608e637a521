//! Which replicas take requests.

use policy::{
    placement::ReplicaKey,
    Era,
    Listed,
    ReplicaId,
    Revision,
    Roster,
    Span,
    StartedAt,
    Time, //
};
use xxhash_rust::xxh3::xxh3_64;

fn at(ms: u64) -> Time {
    Time(0) + Span::millis(ms)
}

fn id(name: &str) -> ReplicaId {
    name.parse().unwrap()
}

fn list(roster: &mut Roster<()>, names: &[&str], ms: u64) -> Vec<ReplicaId> {
    roster.apply_list(names.iter().map(|n| (id(n), (), false)), at(ms))
}

fn ready(roster: &Roster<()>) -> Vec<&str> {
    roster.ready().map(|(id, _)| id.as_str()).collect()
}

#[test]
fn roster_missing_is_removed() {
    let mut roster = Roster::default();
    list(&mut roster, &["a", "b"], 0);
    assert_eq!(list(&mut roster, &["a"], 500), [id("b")]);
    assert_eq!(ready(&roster), ["a"]);
}

#[test]
fn roster_outage_keeps_entries() {
    // All entries lapsed during an outage of the store. Its first list is empty though every
    // replica is running; if it were trusted, nothing would be served for two seconds.
    let mut roster = Roster::default();
    list(&mut roster, &["a", "b"], 0);
    roster.read_failed();
    roster.read_failed();
    assert!(list(&mut roster, &[], 5_400).is_empty());
    assert_eq!(ready(&roster), ["a", "b"]);
    list(&mut roster, &["a"], 6_000);
    assert_eq!(list(&mut roster, &["a"], 7_800), [id("b")]);
    assert_eq!(ready(&roster), ["a"]);
}

#[test]
fn roster_second_outage_starts_anew() {
    let mut roster = Roster::default();
    list(&mut roster, &["a"], 0);
    roster.read_failed();
    list(&mut roster, &[], 2_000);
    roster.read_failed();
    assert!(list(&mut roster, &[], 5_000).is_empty());
    assert_eq!(ready(&roster), ["a"]);
}

#[test]
fn roster_draining_is_reported_to_peers() {
    // The store rejects one router and serves the others. Without a report of its peers, that
    // router would send requests to a replica that leaves meanwhile until it ends.
    let mut up_to_date = Roster::default();
    list(&mut up_to_date, &["a", "b"], 0);
    up_to_date.apply_list([(id("a"), (), true), (id("b"), (), false)], at(400));
    let mut behind = Roster::default();
    list(&mut behind, &["a", "b"], 0);
    assert_eq!(
        behind.apply_departures(&up_to_date.departures(at(500)), at(500)),
        [id("a")]
    );
    assert_eq!(ready(&behind), ["b"]);
    assert!(behind
        .apply_departures(&up_to_date.departures(at(600)), at(600))
        .is_empty());
}

#[test]
fn roster_draining_when_first_seen_is_reported() {
    // A replica joins, and drains a second later. One router read the list in between; the next
    // reader sees it for the first time as draining. Without a report, the first router would send
    // it requests until its own next read, 3 s later.
    let mut early = Roster::default();
    list(&mut early, &["a", "b"], 0);
    let mut late = Roster::default();
    list(&mut late, &["a"], 0);
    late.apply_list([(id("a"), (), false), (id("b"), (), true)], at(1_300));
    assert_eq!(
        early.apply_departures(&late.departures(at(1_400)), at(1_400)),
        [id("b")]
    );
    assert_eq!(ready(&early), ["a"]);
}

#[test]
fn roster_departure_expires() {
    let mut roster = Roster::default();
    list(&mut roster, &["a"], 0);
    list(&mut roster, &[], 100);
    assert_eq!(roster.departures(at(200)), [ReplicaKey::of(&id("a"))]);
    assert!(roster.departures(at(7_000)).is_empty());
}

#[test]
fn roster_late_list_does_not_bring_back() {
    // A router is reading the list while a peer reports that a replica is leaving. The list was
    // made before that, and must not bring the replica back until the next read, 3 s later.
    let mut roster = Roster::default();
    list(&mut roster, &["a", "b"], 0);
    roster.apply_departures(&[ReplicaKey::of(&id("a"))], at(100));
    list(&mut roster, &["a", "b"], 150);
    assert_eq!(ready(&roster), ["b"]);
    // A replica that lapsed and came back is in every later list.
    list(&mut roster, &["a", "b"], 2_600);
    assert_eq!(ready(&roster), ["a", "b"]);
}

/// Draws a number from 0 to 1 for a router's check.
fn roll(router: usize, ms: u64) -> f64 {
    xxh3_64(format!("{router} {ms}").as_bytes()) as f64 / u64::MAX as f64
}

/// Runs routers for a minute that report at an interval. Returns when the list was read.
fn reads(routers: usize, interval: u64) -> Vec<u64> {
    let mut all: Vec<Roster<()>> = (0..routers).map(|_| Roster::default()).collect();
    let mut reads = Vec::new();
    for ms in (0..60_000).step_by(10) {
        for (n, router) in all.iter_mut().enumerate() {
            let checks = (ms + n as u64 * 10) % Roster::<()>::POLL_INTERVAL.as_millis() == 0;
            if checks && router.is_due(roll(n, ms), routers, at(ms)) {
                list(router, &["a"], ms);
                reads.push(ms);
            }
        }
        for reporter in (0..routers).filter(|n| (ms + *n as u64 * 10) % interval == 0) {
            let (age, digest) = (all[reporter].age(at(ms)), all[reporter].digest());
            let Some(age) = age else { continue };
            for other in (0..routers).filter(|n| *n != reporter) {
                all[other].peer_list(age, digest, at(ms));
            }
        }
    }
    reads
}

/// Returns the longest pause between two reads.
fn longest(reads: &[u64]) -> u64 {
    reads.windows(2).map(|w| w[1] - w[0]).max().unwrap()
}

#[test]
fn roster_read_in_turns() {
    // If every router reads the list at its own interval of 3 s, an outage that all of them see end
    // at the same moment makes them read together afterwards, and a replica that left just after a
    // read gets requests for 2 s.
    let reads = reads(9, 100);
    assert!(longest(&reads) <= 1_000, "{}", longest(&reads));
    // Nine routers that read every 0.45 s would be 1,200 reads in a minute.
    assert!(reads.len() < 300, "{}", reads.len());
}

#[test]
fn roster_read_in_turns_by_many() {
    // If each of 60 routers drew a time to wait of up to 2 or 6 s after its read, in the end all
    // would wait for long, none would read for seconds, and replicas that had left would get
    // requests for 3.2 s.
    let reads = reads(60, 300);
    assert!(longest(&reads) <= 1_300, "{}", longest(&reads));
    // Sixty that read every 4 s would be 900 reads in a minute, in addition to the turns.
    assert!(reads.len() < 450, "{}", reads.len());
}

#[test]
fn roster_read_alone() {
    let mut roster: Roster<()> = Roster::default();
    assert!(roster.is_due(0.9, 2, at(0)));
    list(&mut roster, &["a"], 0);
    assert!(!roster.is_due(0.0, 2, at(400)));
    assert!(roster.is_due(0.0, 2, at(450)));
    assert!(!roster.is_due(0.9, 2, at(450)));
    roster.peer_read(Span::millis(50), at(550));
    assert!(!roster.is_due(0.0, 2, at(600)));
    // A read of other routers doesn't count as a list of its own.
    roster.peer_read(Span::ZERO, at(4_000));
    assert!(roster.is_due(0.9, 2, at(4_000)));
}

#[test]
fn roster_store_down_for_all() {
    // The store is silent for eight seconds. If each of 300 routers without a list for four seconds
    // called it, that would be 450 calls in ten seconds, though a few calls suffice to find out
    // that it is back.
    let mut all: Vec<Roster<()>> = (0..300).map(|_| Roster::default()).collect();
    for router in &mut all {
        list(router, &["a"], 0);
    }
    let mut calls = 0;
    for ms in (500..8_000).step_by(50) {
        for (n, router) in all.iter_mut().enumerate() {
            if router.is_due(roll(n, ms), 300, at(ms)) {
                router.read_failed();
                calls += 1;
            }
        }
    }
    // At most 30 calls a second, once a read has been due for half a second.
    assert!((8..240).contains(&calls), "{calls}");
}

/// Returns the list that a router sends to a peer.
fn full_list(roster: &Roster<()>) -> Vec<(ReplicaId, (), bool)> {
    let all = roster
        .all()
        .map(|(id, (), draining)| (id.clone(), (), draining));
    all.collect()
}

#[test]
fn roster_list_of_a_peer() {
    // If each of sixty routers read the list every 4 s, that would be three quarters of all reads,
    // and they would still learn of a new replica only then. Instead a few read, and the others get
    // lists that differ from theirs from these.
    let mut reader = Roster::default();
    let mut other = Roster::default();
    list(&mut reader, &["a", "b"], 0);
    list(&mut other, &["a", "b"], 10);
    list(&mut reader, &["b", "c"], 1_000);
    let age = reader.age(at(1_300)).unwrap();
    assert!(other.peer_list(age, reader.digest(), at(1_300)));
    assert_eq!(
        other.apply_peer_list(full_list(&reader), age, at(1_310)),
        [id("a")]
    );
    assert_eq!(ready(&other), ["b", "c"]);
    // Its list is the same now, so it isn't asked for it again.
    assert_eq!(other.age(at(1_310)), Some(Span::millis(300)));
    assert!(!other.peer_list(Span::millis(310), reader.digest(), at(1_320)));
}

#[test]
fn roster_list_of_a_peer_that_is_older() {
    // A peer's list from before a replica left would bring it back.
    let mut roster = Roster::default();
    let mut peer = Roster::default();
    list(&mut peer, &["a", "b"], 0);
    list(&mut roster, &["a", "b"], 0);
    list(&mut roster, &["b"], 500);
    assert!(!roster.peer_list(Span::millis(600), peer.digest(), at(600)));
    assert!(roster
        .apply_peer_list(full_list(&peer), Span::millis(600), at(600))
        .is_empty());
    assert_eq!(ready(&roster), ["b"]);
}

#[test]
fn roster_same_list_of_a_peer() {
    // While nothing changes, neither the store nor a peer needs to be asked.
    let mut reader = Roster::default();
    let mut other = Roster::default();
    list(&mut other, &["a", "b"], 0);
    for ms in (0..60_000).step_by(500) {
        list(&mut reader, &["a", "b"], ms);
        assert!(!other.peer_list(Span::millis(20), reader.digest(), at(ms + 20)));
        assert!(!other.is_due(0.0, 60, at(ms + 400)), "{ms}");
    }
}

fn start(name: &str, started_at: u64, draining: bool) -> Listed<()> {
    Listed {
        id: id(name),
        key: key(name, started_at),
        value: (),
        draining,
    }
}

fn key(name: &str, started_at: u64) -> ReplicaKey {
    ReplicaKey::of_start(&id(name), Some(StartedAt(started_at)))
}

#[test]
fn roster_restart_under_the_same_id() {
    // A replica drains, ends, and restarts under its id between two reads of the list. If it were
    // taken for the draining incarnation, it would get no requests for 2.4 s though the list says
    // that it is ready.
    let mut roster = Roster::default();
    roster.apply_list([start("a", 1, false)], at(0));
    assert_eq!(roster.apply_list([start("a", 1, true)], at(500)), [id("a")]);
    assert_eq!(
        roster.apply_list([start("a", 2, false)], at(1_000)),
        [id("a")]
    );
    assert_eq!(ready(&roster), ["a"]);
    // While nothing changes, the new incarnation isn't reported.
    assert!(roster
        .apply_list([start("a", 2, false)], at(1_500))
        .is_empty());
}

#[test]
fn roster_report_on_an_earlier_incarnation() {
    // A peer reports that a replica left, and means the earlier incarnation. The running one must
    // not lose its requests.
    let mut roster = Roster::default();
    roster.apply_list([start("a", 2, false)], at(0));
    assert!(roster.apply_departures(&[key("a", 1)], at(100)).is_empty());
    assert_eq!(ready(&roster), ["a"]);
    assert_eq!(roster.apply_departures(&[key("a", 2)], at(200)), [id("a")]);
    assert!(ready(&roster).is_empty());
}

#[test]
fn roster_restart_shows_in_the_digest() {
    // Two routers know different incarnations of a replica. If their digests were equal, the one
    // that is behind would not ask for the list, and would keep the loads and speeds of the earlier
    // incarnation.
    let (mut one, mut other) = (Roster::default(), Roster::default());
    one.apply_list([start("a", 1, false)], at(0));
    other.apply_list([start("a", 2, false)], at(0));
    assert_ne!(one.digest(), other.digest());
}

#[test]
fn roster_local_read_of_leaving_is_final() {
    // A replica announces that it is leaving. After an outage of the store an earlier entry
    // reappears for a while. A router that read the announcement must not send the replica requests
    // that it can't finish.
    let mut roster = Roster::default();
    list(&mut roster, &["a", "b"], 0);
    roster.apply_list([(id("a"), (), true), (id("b"), (), false)], at(500));
    roster.read_failed();
    list(&mut roster, &["a", "b"], 6_000);
    assert_eq!(ready(&roster), ["b"]);
    list(&mut roster, &["a", "b"], 12_000);
    assert_eq!(ready(&roster), ["b"]);
}

#[test]
fn roster_peer_report_of_leaving_is_not_final() {
    // A peer missed a replica in a list that was made just after an outage, and reported that it
    // left. The replica is running, and the store still lists it.
    let mut roster = Roster::default();
    list(&mut roster, &["a"], 0);
    roster.apply_departures(&[ReplicaKey::of(&id("a"))], at(100));
    list(&mut roster, &["a"], 600);
    assert!(ready(&roster).is_empty());
    list(&mut roster, &["a"], 3_000);
    assert_eq!(ready(&roster), ["a"]);
}

#[test]
fn roster_only_this_router_rejected() {
    // The store rejects this router for some seconds and serves the others, so no entry lapsed. A
    // replica that leaves just after must not be kept for 2.3 s, as it would be after an outage of
    // the store, since it could not finish the requests it gets.
    let mut roster = Roster::default();
    list(&mut roster, &["a", "b"], 0);
    for ms in (500..4_500).step_by(500) {
        roster.read_failed();
        roster.peer_read(Span::millis(20), at(ms));
    }
    list(&mut roster, &["a", "b"], 4_600);
    assert_eq!(list(&mut roster, &["a"], 5_100), [id("b")]);
    assert_eq!(ready(&roster), ["a"]);
}

#[test]
fn roster_outage_that_a_peer_saw_end() {
    // After an outage a peer reads the list first. The lapsed entries are not back yet, and this
    // router, whose reads failed like those of all others, must keep them too.
    let mut roster = Roster::default();
    list(&mut roster, &["a", "b"], 0);
    roster.read_failed();
    roster.peer_read(Span::millis(20), at(4_000));
    assert!(list(&mut roster, &["a"], 4_300).is_empty());
    assert_eq!(ready(&roster), ["a", "b"]);
    assert_eq!(list(&mut roster, &["a"], 6_400), [id("b")]);
}

/// Applies a list that was read from the store at a revision.
fn list_at(
    roster: &mut Roster<()>,
    era: u64,
    number: u64,
    names: &[&str],
    ms: u64,
) -> Vec<ReplicaId> {
    let era = Era(era);
    roster.set_revision(Revision { era, number }, at(ms));
    list(roster, names, ms)
}

/// Guards against replicas that get no requests for seconds after the store came back from a copy
/// without them, though no read failed.
#[test]
fn roster_store_returned() {
    let mut roster = Roster::default();
    list_at(&mut roster, 1, 90, &["a", "b", "c"], 0);
    assert!(list_at(&mut roster, 2, 60, &["a"], 500).is_empty());
    assert!(list_at(&mut roster, 2, 61, &["a"], 1_000).is_empty());
    assert_eq!(ready(&roster), ["a", "b", "c"]);
    assert!(roster.departures(at(1_000)).is_empty());
    // A replica that is still missing when all running ones are back is removed.
    assert_eq!(list_at(&mut roster, 2, 70, &["a", "b"], 2_900), [id("c")]);
    assert_eq!(ready(&roster), ["a", "b"]);
}

/// Guards against the same if the store reports no era: its revision decreases.
#[test]
fn roster_revision_fell() {
    let mut roster = Roster::default();
    list_at(&mut roster, 0, 90, &["a", "b"], 0);
    assert!(list_at(&mut roster, 0, 60, &["a"], 500).is_empty());
    assert_eq!(ready(&roster), ["a", "b"]);
    assert_eq!(list_at(&mut roster, 0, 70, &["a"], 2_900), [id("b")]);
}

/// Guards against replicas that a router drops because of the list of a peer that read it first
/// after the store came back, or because of its own next list.
#[test]
fn roster_peer_reports_a_newer_era() {
    let mut roster = Roster::default();
    list_at(&mut roster, 1, 90, &["a", "b"], 0);
    roster.observe_peer_era(Era(2), at(500));
    let peers = [(id("a"), (), false)];
    assert!(roster.accepts_list_of(Era(2), at(600)));
    assert!(roster
        .apply_peer_list(peers, Span::millis(50), at(600))
        .is_empty());
    assert!(list_at(&mut roster, 2, 61, &["a"], 1_000).is_empty());
    assert_eq!(ready(&roster), ["a", "b"]);
    assert_eq!(list_at(&mut roster, 2, 70, &["a"], 2_900), [id("b")]);
}

/// Guards against a peer's list from before the store came back that arrives after a later one.
#[test]
fn roster_peers_list_of_an_older_era() {
    let mut roster = Roster::default();
    list_at(&mut roster, 2, 60, &["a"], 0);
    assert!(!roster.accepts_list_of(Era(1), at(100)));
    assert!(roster.accepts_list_of(Era(2), at(100)));
}

/// Guards against a peer that reports an era far too high: a later return of the store would go
/// unnoticed, or missing replicas would be kept forever.
#[test]
fn roster_peer_reports_a_wrong_era() {
    let mut roster = Roster::default();
    list_at(&mut roster, 1, 90, &["a", "b"], 0);
    for ms in (100..4_000).step_by(100) {
        roster.observe_peer_era(Era(u64::MAX), at(ms));
    }
    assert_eq!(list_at(&mut roster, 1, 95, &["a"], 4_000), [id("b")]);
    list_at(&mut roster, 1, 96, &["a", "c"], 4_500);
    assert!(list_at(&mut roster, 2, 60, &["a"], 5_000).is_empty());
    assert_eq!(ready(&roster), ["a", "c"]);
}

/// Guards against requests to a replica that has left, because the store came back from a copy that
/// still has its entry.
#[test]
fn roster_departed_replica_in_an_older_copy() {
    let mut roster = Roster::default();
    list_at(&mut roster, 1, 80, &["a", "b"], 0);
    assert_eq!(list_at(&mut roster, 1, 90, &["a"], 500), [id("b")]);
    for ms in (3_000..6_600).step_by(400) {
        list_at(&mut roster, 2, 60, &["a", "b"], ms);
        assert_eq!(ready(&roster), ["a"], "{ms}");
    }
    // It is running if its entry is still there when those of ended replicas have lapsed.
    list_at(&mut roster, 2, 70, &["a", "b"], 9_100);
    assert_eq!(ready(&roster), ["a", "b"]);
}

/// Replicas of [`after_a_return`]; the last of them has ended when the store is back.
const REPLICAS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// Returns what the store lists. At 5 s it is back from a copy with one replica; the others come
/// back one by one within two seconds, except for the last.
fn listed_by_store(ms: u64) -> Vec<&'static str> {
    let back = match ms {
        0..5_000 => REPLICAS.len(),
        _ => (1 + (ms - 5_000) as usize / 450).min(REPLICAS.len() - 1),
    };
    REPLICAS[..back].to_vec()
}

/// Runs routers that read the list in turns and report to each other while the store comes back
/// from an older copy, without a failed read. Returns the largest number of running replicas that
/// any router lacked, and how many routers still had the ended one at the end.
fn after_a_return(routers: usize, interval: u64) -> (usize, usize) {
    let mut all: Vec<Roster<()>> = (0..routers).map(|_| Roster::default()).collect();
    let running = &REPLICAS[..REPLICAS.len() - 1];
    let mut missing = 0;
    for ms in (0..14_000).step_by(10) {
        let now = at(ms);
        for (n, router) in all.iter_mut().enumerate() {
            let checks = (ms + n as u64 * 10) % Roster::<()>::POLL_INTERVAL.as_millis() == 0;
            if checks && router.is_due(roll(n, ms), routers, now) {
                let (era, number) = if ms < 5_000 {
                    (1, 90)
                } else {
                    (2, 60 + ms / 100)
                };
                list_at(router, era, number, &listed_by_store(ms), ms);
            }
        }
        for reporter in (0..routers).filter(|n| (ms + *n as u64 * 10) % interval == 0) {
            let Some(age) = all[reporter].age(now) else {
                continue;
            };
            let (digest, era) = (all[reporter].digest(), all[reporter].era());
            let (list, left) = (full_list(&all[reporter]), all[reporter].departures(now));
            for other in (0..routers).filter(|n| *n != reporter) {
                let router = &mut all[other];
                router.observe_peer_era(era, now);
                router.apply_departures(&left, now);
                if router.peer_list(age, digest, now) && router.accepts_list_of(era, now) {
                    router.apply_peer_list(list.clone(), age, now);
                }
            }
        }
        for router in all.iter().filter(|r| r.age(now).is_some() && ms > 1_000) {
            let has = running.iter().filter(|name| router.takes_work(&id(name)));
            missing = missing.max(running.len() - has.count());
        }
    }
    let ended = id(REPLICAS[REPLICAS.len() - 1]);
    let keeping = all.iter().filter(|r| r.takes_work(&ended)).count();
    (missing, keeping)
}

/// Guards against any router of a fleet dropping running replicas, or keeping an ended one, as its
/// peers learn of the store's return at different moments.
#[test]
fn roster_store_returned_for_all() {
    for (routers, interval) in [(1, 100), (8, 100), (60, 300), (300, 400), (370, 400)] {
        assert_eq!(after_a_return(routers, interval), (0, 0), "{routers}");
    }
}

/// Guards against lists, of this router or of peers, that are older than a replica's own
/// announcement and bring it back, however long after it.
#[test]
fn roster_announced_leaving_outlives_lists() {
    let mut roster = Roster::default();
    list(&mut roster, &["a", "b"], 0);
    assert!(roster.announce_leaving(ReplicaKey::of(&id("a")), at(100)));
    assert!(!roster.announce_leaving(ReplicaKey::of(&id("a")), at(200)));
    for ms in (300..60_000).step_by(700) {
        list(&mut roster, &["a", "b"], ms);
        assert_eq!(ready(&roster), ["b"], "{ms}");
        let peers = [(id("a"), (), false), (id("b"), (), false)];
        roster.apply_peer_list(peers, Span::millis(10), at(ms + 300));
        assert_eq!(ready(&roster), ["b"], "{ms}");
    }
}

/// Guards against a leaving replica that gets requests again as its entry lapses while the store is
/// down, or is missing from a restored store, and is written again.
#[test]
fn roster_announced_leaving_outlives_its_entry() {
    let mut roster = Roster::default();
    list(&mut roster, &["a", "b"], 0);
    roster.announce_leaving(ReplicaKey::of(&id("a")), at(100));
    list(&mut roster, &["b"], 10_000);
    list(&mut roster, &["a", "b"], 200_000);
    assert_eq!(ready(&roster), ["b"]);
    list_at(&mut roster, 2, 1, &["b"], 201_000);
    list_at(&mut roster, 2, 2, &["a", "b"], 210_000);
    assert_eq!(ready(&roster), ["b"]);
}

/// Guards against a mark that is lost as the entry which was read as draining lapses and returns.
#[test]
fn roster_listed_leaving_outlives_its_entry() {
    let mut roster: Roster<()> = Roster::default();
    roster.apply_list([(id("a"), (), true), (id("b"), (), false)], at(0));
    list(&mut roster, &["b"], 10_000);
    list(&mut roster, &["a", "b"], 30_000);
    assert_eq!(ready(&roster), ["b"]);
}

/// Guards against a replica without requests, as an earlier start under its id announced that it
/// leaves, in an answer that came before or after the list with the new start.
#[test]
fn roster_announced_leaving_of_an_earlier_start() {
    let mut roster = Roster::default();
    roster.apply_list([start("a", 1, false)], at(0));
    roster.announce_leaving(key("a", 1), at(100));
    roster.apply_list([start("a", 2, false)], at(700));
    assert_eq!(ready(&roster), ["a"]);
    roster.apply_list([start("a", 3, false)], at(1_400));
    roster.announce_leaving(key("a", 2), at(1_500));
    assert_eq!(ready(&roster), ["a"]);
}

/// Guards against an announcement that arrives before the first list with the replica.
#[test]
fn roster_announced_leaving_before_it_is_listed() {
    let mut roster = Roster::default();
    roster.announce_leaving(ReplicaKey::of(&id("a")), at(0));
    list(&mut roster, &["a", "b"], 100);
    assert_eq!(ready(&roster), ["b"]);
}

/// Guards against announcements that routers go on telling each other for ever.
#[test]
fn roster_announced_leaving_is_reported_for_a_while() {
    let (mut first, mut second) = (Roster::default(), Roster::default());
    for roster in [&mut first, &mut second] {
        list(roster, &["a", "b"], 0);
    }
    first.announce_leaving(ReplicaKey::of(&id("a")), at(0));
    for ms in (0..30_000).step_by(100) {
        for key in first.announced_leaving(at(ms)) {
            second.announce_leaving(key, at(ms));
        }
        for key in second.announced_leaving(at(ms)) {
            first.announce_leaving(key, at(ms));
        }
    }
    assert_eq!(ready(&second), ["b"]);
    assert!(first.announced_leaving(at(30_000)).is_empty());
    assert!(second.announced_leaving(at(30_000)).is_empty());
}
