//! Reports to other zones in fleets whose services are tolerant.

use {
    super::{
        busy_standbys, count_wrong, first_active, settled,
        world::{
            name,
            World,
            ACTIVE_MIN, //
        },
        SIZES,
    },
    policy::Span,
    std::collections::HashMap, //
};

/// Returns a tolerant fleet that has agreed, whose reports across zones are checked from now on.
fn tolerant(n: usize, seed: u64) -> World {
    let mut world = settled(n, seed);
    world.set_tolerant(true);
    world.run(Span::millis(500));
    world.paths = Some(HashMap::new());
    world
}

/// Returns the bytes that active routers send each other across zones in three seconds.
fn bytes_across_zones(world: &mut World) -> u64 {
    world.across_zones = 0;
    world.run(Span::secs(3));
    world.across_zones
}

fn active_routers(world: &mut World) -> Vec<usize> {
    let up = world.up().into_iter();
    up.filter(|i| world.is_active(*i)).collect()
}

/// Guards against reports that load the links between zones, or that are so rare that active routers
/// are considered dead, or are detected late when they are.
#[test]
fn reports_to_other_zones_are_reduced() {
    for n in SIZES {
        let mut world = settled(n, 37);
        let before = bytes_across_zones(&mut world);
        world.set_tolerant(true);
        world.run(Span::millis(500));
        world.paths = Some(HashMap::new());
        let reduced = bytes_across_zones(&mut world);
        println!("{n}: {reduced} of {before} bytes across zones");
        assert!(
            reduced * 100 <= before * 45,
            "{n}: {reduced} of {before} bytes"
        );
        assert_eq!(world.count_observing_silence(), 0, "of {n}");
        let dead = first_active(&mut world);
        world.kill(dead);
        // The limit for silent routers, one refresh of the set and a delayed message.
        world.run(Span::millis(1_300));
        let active = active_routers(&mut world);
        let listing = active.iter().filter(|i| world.dead_listed(**i) > 0).count();
        assert_eq!(listing, 0, "active routers of {n} list a dead one");
    }
}

/// Guards against routers that become active and get no reports of other zones, or send none.
#[test]
fn reports_reach_new_active_routers() {
    for seed in 0..4 {
        let mut world = tolerant(60, seed);
        let killed = active_routers(&mut world);
        for i in killed.iter().step_by(2) {
            world.kill(*i);
        }
        world.run(Span::secs(3));
        let replaced = active_routers(&mut world);
        assert!(replaced.len() >= ACTIVE_MIN, "{replaced:?}");
        for i in killed.iter().step_by(2) {
            world.start(*i);
        }
        world.set_tolerant(true);
        world.run(Span::secs(3));
        let restarted = active_routers(&mut world);
        assert!(restarted.iter().any(|i| !replaced.contains(i)));
    }
}

/// Guards against old reports of the other zones while one is cut off, and after it is reached
/// again.
#[test]
fn reports_with_a_partitioned_zone() {
    let mut world = tolerant(60, 41);
    world.partitioned.insert(2);
    world.run(Span::secs(6));
    let in_zone = world.active(2);
    assert!(in_zone.len() >= ACTIVE_MIN, "{in_zone:?}");
    let out_of_zone = (0..60).filter(|i| i % 5 != 2).map(name).collect::<Vec<_>>();
    assert!(in_zone.iter().all(|name| !out_of_zone.contains(name)));
    world.partitioned.clear();
    assert!(world.agree_within(Span::secs(8)).is_some());
}

/// Guards against requests of busy standbys and of active routers that are left out as reports
/// expire before the next one comes.
#[test]
fn reduced_reports_stay_valid() {
    let mut world = tolerant(60, 43);
    let mut busy = busy_standbys(&mut world);
    let active = active_routers(&mut world);
    for i in busy.iter().chain(&active) {
        world.start_requests(*i, 20);
    }
    busy.extend(active);
    world.run(Span::secs(2));
    let mut wrong = 0;
    for _ in 0..100 {
        world.run(Span::millis(50));
        wrong += count_wrong(&world, &busy);
    }
    let looks = 100 * busy.len();
    assert!(wrong * 100 <= looks * 2, "{wrong} of {looks}");
}

/// Hash of all messages in [`seeded_fleets`] before reports to other zones could be reduced.
const MESSAGES_BEFORE: u64 = 1_913_155_321_664_668_578;

/// Returns the hash of all messages in small fleets with kills, departures, partitions and busy
/// standbys.
fn messages_of_seeded_fleets() -> u64 {
    let mut digest = 0;
    for seed in 0..40 {
        let n = 2 + seed as usize % 23;
        let mut world = World::new(n, seed);
        world.digest = Some(digest);
        world.run(Span::millis(1_500));
        world.start_requests(n - 1, 3 + seed as u32 % 4);
        world.leave(n / 2);
        world.kill(0);
        world.partitioned.insert(seed as usize % 5);
        world.run(Span::millis(1_500));
        world.partitioned.clear();
        world.start(0);
        world.run(Span::millis(1_500));
        digest = world.digest.unwrap();
    }
    digest
}

/// Guards against changed messages in deployments that are not tolerant.
#[test]
fn reports_unchanged_without_tolerance() {
    assert_eq!(messages_of_seeded_fleets(), MESSAGES_BEFORE);
}
