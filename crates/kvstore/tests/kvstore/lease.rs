//! Leases, and holders that lose them.

use {
    crate::common::{
        client,
        platform,
        run, //
    },
    async_std::task,
    kvstore::{
        KvError,
        Lease,
        LeaseError,
        Watched, //
    },
    policy::{
        Span,
        Time, //
    },
};

const TTL: Span = Span::secs(60);
const MARGIN: Span = Span::secs(10);

#[test]
fn lease_valid_for() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        let lease = Lease::grant(&kv, TTL, MARGIN, || Time(1_000))
            .await
            .unwrap();
        let at = |secs| Time(1_000) + Span::secs(secs);
        assert_eq!(lease.valid_for(at(0)), Some(Span::secs(50)));
        assert_eq!(lease.valid_for(at(49)), Some(Span::secs(1)));
        assert_eq!(lease.valid_for(at(50)), None);
        assert_eq!(lease.valid_for(at(5_000)), None);
        assert_eq!(lease.check(at(40), Span::secs(10)), Ok(()));
        assert!(lease.check(at(41), Span::secs(10)).is_err());
    });
}

// A router holds the right to give an engine orders. It is paused, its lease lapses, another
// router takes over and gives orders. The first wakes up and would go on with its own: the
// engine gets orders from two holders. Cause: it looked at its lease before the pause only.
#[test]
fn lease_holder_paused() {
    run(async {
        let platform = platform().await;
        let (a, b) = (client(&platform, "a"), client(&platform, "b"));
        let now = Time(7);
        let first = Lease::grant(&a, TTL, MARGIN, || now).await.unwrap();
        let claim = first.claim(&a, "orders/e1", "a").await.unwrap();
        assert_eq!(first.check(now, Span::secs(5)), Ok(()));
        // The pause: the platform ends the lease, and `b` takes over.
        let other = Lease::grant(&b, TTL, MARGIN, || now).await.unwrap();
        let held = other.claim(&b, "orders/e1", "b").await;
        assert!(matches!(held, Err(LeaseError::Held(_))), "{held:?}");
        platform.expire_leases();
        let second = Lease::grant(&b, TTL, MARGIN, || now).await.unwrap();
        let second = second.claim(&b, "orders/e1", "b").await.unwrap();
        let woken = now + TTL;
        assert_eq!(first.valid_for(woken), None);
        let err = first.check(woken, Span::secs(5)).unwrap_err();
        assert!(err.to_string().contains("claim its key again"), "{err}");
        assert!(second.fence > claim.fence);
        let mut first = first;
        let err = first.renew(&a, || woken).await.unwrap_err();
        assert_eq!(err, KvError::LeaseEnded(first.id()));
        assert_eq!(first.valid_for(woken), None);
    });
}

// The platform grants the lease at once and its answer takes long. A holder that counted from
// the answer would take the lease for valid after the platform had given it to another.
#[test]
fn lease_answer_slow() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        let later = |kind| Time(Span::secs(50).0 * platform.calls(kind));
        let mut lease = Lease::grant(&kv, TTL, MARGIN, || later("grant"))
            .await
            .unwrap();
        assert_eq!(lease.valid_for(later("grant")), None);
        lease.renew(&kv, || later("renew")).await.unwrap();
        assert_eq!(lease.valid_for(later("renew")), None);
    });
}

// The answer to a renewal is lost. The holder must not count on it, though it was done.
#[test]
fn lease_renewal_lost() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        let mut lease = Lease::grant(&kv, TTL, MARGIN, || Time(0)).await.unwrap();
        platform.lose_answers(1);
        let later = Time(0) + Span::secs(45);
        assert!(lease.renew(&kv, || later).await.unwrap_err().may_have_run());
        assert_eq!(lease.valid_for(later), Some(Span::secs(5)));
    });
}

// The answer to a claim is lost. The holder would wait for itself to let go.
#[test]
fn lease_claim_lost() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        let lease = Lease::grant(&kv, TTL, MARGIN, || Time(0)).await.unwrap();
        platform.lose_answers(1);
        let claim = loop {
            match lease.claim(&kv, "x", "a").await {
                Err(LeaseError::Kv(KvError::Unavailable { retry, .. })) => {
                    task::sleep(retry.into()).await;
                }
                done => break done.unwrap(),
            }
        };
        let entry = kv.get("x").await.unwrap().unwrap();
        assert_eq!(entry.revision, claim.fence);
    });
}

#[test]
fn lease_runs_out() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        let ttl = Span::secs(1);
        let lease = Lease::grant(&kv, ttl, Span::ZERO, || Time(0))
            .await
            .unwrap();
        match lease.claim(&kv, "x", "a").await {
            Ok(claim) => {
                let gone = kv.watch("x", claim.fence, Span::secs(60)).await;
                assert_eq!(gone, Ok(Watched::Gone));
            }
            // A machine so busy that the lease ran out before the claim.
            Err(e) => assert_eq!(e, LeaseError::Kv(KvError::LeaseEnded(lease.id()))),
        }
    });
}

#[test]
fn lease_revoked() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        let lease = Lease::grant(&kv, TTL, MARGIN, || Time(0)).await.unwrap();
        lease.claim(&kv, "x", "a").await.unwrap();
        lease.revoke(&kv).await.unwrap();
        assert_eq!(kv.get("x").await, Ok(None));
    });
}
