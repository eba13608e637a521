//! Connections that share a limiter.

use {
    futures_lite::future::{
        block_on,
        poll_once, //
    },
    resources::{
        Account,
        Bytes,
        Evicted,
        Limiter,
        ListenerId,
        MemoryLimits,
        Phase,
        Segments, //
    },
    std::{
        future::poll_fn,
        task::Poll, //
    },
};

const LIMITS: MemoryLimits = MemoryLimits {
    total: Bytes(1 << 20),
    large: Bytes(768 << 10),
};

fn open(limiter: &Limiter, listener: ListenerId) -> Account {
    block_on(limiter.open(listener)).unwrap()
}

/// Opens a connection that has received a part of a request.
fn receiving(limiter: &Limiter, listener: ListenerId, bytes: usize) -> (Account, Segments) {
    let account = open(limiter, listener);
    account.set_phase(Phase::Receiving);
    let mut body = Segments::new(account.charge(), bytes);
    body.push(&vec![0; bytes]);
    let update = poll_fn(|cx| Poll::Ready(account.update(cx, 0, bytes)));
    block_on(update).unwrap();
    (account, body)
}

/// Asks once for room.
fn room(account: &Account) -> Poll<Result<(), Evicted>> {
    let asked = poll_once(poll_fn(|cx| account.poll_room(cx)));
    block_on(asked).map_or(Poll::Pending, Poll::Ready)
}

/// Guards against bodies that count only when they are complete.
#[test]
fn stats_while_receiving() {
    let limiter = Limiter::new(LIMITS);
    let listener = limiter.add_listener(10);
    let (account, body) = receiving(&limiter, listener, 100_000);
    assert_eq!(limiter.stats().receiving, 7 * resources::SEGMENT_SIZE);
    drop(body);
    assert_eq!(limiter.stats().held, 0);
    drop(account);
    assert_eq!(limiter.stats().connections, 0);
}

/// Guards against a short request that waits for large ones that never end.
#[test]
fn room_for_a_short_request() {
    let limiter = Limiter::new(LIMITS);
    let listener = limiter.add_listener(10);
    let large: Vec<_> = (0..3)
        .map(|_| receiving(&limiter, listener, 350_000))
        .collect();
    let short = open(&limiter, listener);
    assert_eq!(room(&short), Poll::Pending);
    let evicted: Vec<_> = large
        .iter()
        .filter(|(a, _)| a.evicted().is_some())
        .collect();
    assert_eq!(evicted.len(), 1);
    drop(large);
    assert_eq!(room(&short), Poll::Ready(Ok(())));
}

/// Guards against large requests that take the part of the limiter that is left to short ones.
#[test]
fn room_for_a_large_request() {
    let limiter = Limiter::new(LIMITS);
    let listener = limiter.add_listener(10);
    let (first, body) = receiving(&limiter, listener, 790_000);
    first.serve().unwrap();
    let (second, _other) = receiving(&limiter, listener, 150_000);
    assert_eq!(room(&second), Poll::Ready(Err(Evicted::Memory)));
    let short = open(&limiter, listener);
    assert_eq!(room(&short), Poll::Ready(Ok(())));
    drop(body);
}

/// Guards against the eviction of a connection whose request is being served.
#[test]
fn room_without_anything_to_evict() {
    let limiter = Limiter::new(LIMITS);
    let listener = limiter.add_listener(10);
    let served = receiving(&limiter, listener, 1 << 20);
    served.0.serve().unwrap();
    let short = open(&limiter, listener);
    assert_eq!(room(&short), Poll::Ready(Err(Evicted::Memory)));
    assert!(served.0.evicted().is_none());
}

/// Guards against connections that wait for the buffer of one that writes its refusal.
#[test]
fn refuse_frees_the_buffer() {
    let limiter = Limiter::new(LIMITS);
    let listener = limiter.add_listener(1);
    let account = open(&limiter, listener);
    let update = poll_fn(|cx| Poll::Ready(account.update(cx, 10_000, 0)));
    block_on(update).unwrap();
    assert_eq!(limiter.stats().held, 10_000);
    account.refuse();
    assert_eq!(limiter.stats().held, 0);
}

/// Guards against a request that runs although its connection was evicted.
#[test]
fn serve_after_eviction() {
    let limiter = Limiter::new(LIMITS);
    let listener = limiter.add_listener(1);
    let first = open(&limiter, listener);
    assert!(block_on(poll_once(limiter.open(listener))).is_none());
    assert_eq!(first.serve(), Err(Evicted::Place));
}

/// Guards against idle connections that leave no place for others.
#[test]
fn open_when_full() {
    let limiter = Limiter::new(LIMITS);
    let listener = limiter.add_listener(2);
    let (idle, busy) = (open(&limiter, listener), open(&limiter, listener));
    busy.serve().unwrap();
    let opened = block_on(async {
        let mut waiting = Box::pin(limiter.open(listener));
        assert!(poll_once(&mut waiting).await.is_none());
        assert!(idle.evicted() == Some(Evicted::Place) && busy.evicted().is_none());
        drop(idle);
        waiting.await
    });
    opened.as_ref().unwrap().serve().unwrap();
    assert!(block_on(limiter.open(listener)).is_none(), "all are busy");
}

/// Guards against memory that grows with each body although earlier ones were freed.
#[test]
fn segments_are_used_again() {
    let limiter = Limiter::new(LIMITS);
    let listener = limiter.add_listener(10);
    let first = receiving(&limiter, listener, 100_000);
    let at = |body: &Segments| body.slices().map(<[u8]>::as_ptr).collect::<Vec<_>>();
    let mut before = at(&first.1);
    drop(first);
    let second = receiving(&limiter, listener, 100_000);
    let mut after = at(&second.1);
    before.sort();
    after.sort();
    assert_eq!(before, after);
}

/// Guards against answers that take what requests need.
#[test]
fn has_spare_beside_answers() {
    let limiter = Limiter::new(LIMITS);
    let mut charge = limiter.charge();
    charge.resize(700 << 10);
    assert!(limiter.has_spare());
    charge.resize(800 << 10);
    assert!(!limiter.has_spare());
    drop(charge);
    assert_eq!(limiter.stats().held, 0);
}
