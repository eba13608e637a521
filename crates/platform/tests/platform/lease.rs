//! Leases, and holders that lose them.

use {
    crate::common::{
        client,
        platform,
        run, //
    },
    ::platform::{
        KvError,
        Lease,
        LeaseError, //
    },
    async_std::task,
    policy::{
        Span,
        Time, //
    },
    std::time::Duration,
};

const TTL: Span = Span::millis(300);
const MARGIN: Span = Span::millis(100);

#[test]
fn lease_valid_for() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        let lease = Lease::grant(&kv, TTL, MARGIN, || Time(1_000))
            .await
            .unwrap();
        let at = |ms| Time(1_000) + Span::millis(ms);
        assert_eq!(lease.valid_for(at(0)), Some(Span::millis(200)));
        assert_eq!(lease.valid_for(at(199)), Some(Span::millis(1)));
        assert_eq!(lease.valid_for(at(200)), None);
        assert_eq!(lease.valid_for(at(5_000)), None);
        assert_eq!(lease.check(at(100), Span::millis(100)), Ok(()));
        assert!(lease.check(at(101), Span::millis(100)).is_err());
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
        assert_eq!(first.check(now, Span::millis(50)), Ok(()));
        // The pause: `a` does nothing until `b` holds the key.
        let second = loop {
            let lease = Lease::grant(&b, Span::secs(60), MARGIN, || now)
                .await
                .unwrap();
            match lease.claim(&b, "orders/e1", "b").await {
                Ok(claim) => break claim,
                Err(LeaseError::Held(_)) => task::sleep(Duration::from_millis(20)).await,
                Err(e) => panic!("{e}"),
            }
        };
        let woken = now + TTL;
        assert_eq!(first.valid_for(woken), None);
        let err = first.check(woken, Span::millis(50)).unwrap_err();
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
        let later = |kind| Time(Span::secs(1).0 * platform.calls(kind));
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
        let later = Time(0) + Span::millis(150);
        assert!(lease.renew(&kv, || later).await.unwrap_err().may_have_run());
        assert_eq!(lease.valid_for(later), Some(Span::millis(50)));
    });
}

// The answer to a claim is lost. The holder would wait for itself to let go.
#[test]
fn lease_claim_lost() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        let lease = Lease::grant(&kv, Span::secs(60), MARGIN, || Time(0))
            .await
            .unwrap();
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
fn lease_revoked() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        let lease = Lease::grant(&kv, Span::secs(60), MARGIN, || Time(0))
            .await
            .unwrap();
        lease.claim(&kv, "x", "a").await.unwrap();
        lease.revoke(&kv).await.unwrap();
        assert_eq!(kv.get("x").await, Ok(None));
    });
}
