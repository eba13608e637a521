//! The key-value client against the stand-in: what it does, and what it says when it can't.

use {
    crate::common::{
        client,
        hasty,
        platform,
        run, //
    },
    async_std::task,
    futures_lite::future::zip,
    kvstore::{
        KeyRevision,
        KvError,
        Watched,
        VALUE_MAX, //
    },
    policy::Span,
    standins::platform::Down,
    std::{
        sync::Arc,
        time::Duration, //
    },
};

const NONE: KeyRevision = KeyRevision::NONE;

#[test]
fn put_and_get() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        assert_eq!(kv.get("x/y").await, Ok(None));
        let text: Arc<str> = "zwölf \"Boxkämpfer\"\n".into();
        let first = kv.put("x/y", text.clone(), NONE, None).await.unwrap();
        let entry = kv.get("x/y").await.unwrap().unwrap();
        assert_eq!(entry.value, text);
        assert_eq!(entry.revision, first);
        let second = kv.put("x/y", "b".into(), first, None).await.unwrap();
        assert!(second > first);
        kv.delete("x/y", second).await.unwrap();
        assert_eq!(kv.get("x/y").await, Ok(None));
    });
}

#[test]
fn put_at_other_revision() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        let current = kv.put("x", "a".into(), NONE, None).await.unwrap();
        let again = kv.put("x", "b".into(), NONE, None).await;
        assert_eq!(again, Err(KvError::Conflict { current }));
        assert_eq!(&*kv.get("x").await.unwrap().unwrap().value, "a");
    });
}

#[test]
fn put_too_large() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        let fits: Arc<str> = "x".repeat(VALUE_MAX).into();
        assert!(kv.put("x", fits.clone(), NONE, None).await.is_ok());
        assert_eq!(kv.get("x").await.unwrap().unwrap().value, fits);
        let over = "x".repeat(VALUE_MAX + 1).into();
        let err = kv.put("y", over, NONE, None).await.unwrap_err();
        assert!(matches!(err, KvError::TooLarge { .. }));
        assert!(err.to_string().ends_with("split it"), "{err}");
        assert_eq!(platform.calls("put"), 1);
    });
}

#[test]
fn put_bad_key() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        for key in ["", "a b", "a?cas=1", "../admin", "a//b"] {
            let err = kv.get(key).await.unwrap_err();
            assert_eq!(err, KvError::Key(key.to_owned()));
        }
    });
}

// An operator's bill: each waiting router would cost a call every few milliseconds if it
// polled. A watch waits at the platform instead, and counts as one call however long.
#[test]
fn watch_counted_as_one() {
    run(async {
        let platform = platform().await;
        let (a, b) = (client(&platform, "a"), client(&platform, "b"));
        let first = a.put("x", "1".into(), NONE, None).await.unwrap();
        let watcher = b.clone();
        let waiting = task::spawn(async move { watcher.watch("x", first, Span::secs(30)).await });
        while platform.calls("watch") == 0 {
            task::sleep(Duration::from_millis(5)).await;
        }
        let second = a.put("x", "2".into(), first, None).await.unwrap();
        let Ok(Watched::Changed(entry)) = waiting.await else {
            panic!("the watch saw no change");
        };
        assert_eq!((entry.revision, &*entry.value), (second, "2"));
        let same = b.watch("x", second, Span::millis(50)).await;
        assert_eq!(same, Ok(Watched::Same));
        assert_eq!(platform.calls("watch"), 2);
        assert_eq!(platform.calls("get"), 0);
        assert_eq!(b.counts()["watch"], 2);
    });
}

#[test]
fn watch_key_that_goes() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        let first = kv.put("x", "1".into(), NONE, None).await.unwrap();
        kv.delete("x", first).await.unwrap();
        let gone = kv.watch("x", first, Span::secs(30)).await;
        assert_eq!(gone, Ok(Watched::Gone));
        let none = kv.watch("x", NONE, Span::millis(20)).await;
        assert_eq!(none, Ok(Watched::Gone));
    });
}

// A change is written, and the connection ends before the answer. The writer must not take
// this for "not done": the key has the new value.
#[test]
fn put_answer_lost() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        platform.lose_answers(1);
        let err = kv.put("x", "1".into(), NONE, None).await.unwrap_err();
        assert!(err.may_have_run(), "{err}");
        assert_eq!(get_at_last(&kv, "x").await.as_deref(), Some("1"));
    });
}

#[test]
fn put_platform_refuses() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        platform.set_down(Some(Down::Refuse));
        let err = kv.put("x", "1".into(), NONE, None).await.unwrap_err();
        // The stand-in takes the connection and closes it, so the request may have arrived.
        assert!(err.may_have_run(), "{err}");
        platform.set_down(None);
        assert_eq!(get_at_last(&kv, "x").await, None);
    });
}

#[test]
fn put_nobody_listens() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        drop(platform);
        while kv.get("x").await.is_ok() {
            task::sleep(Duration::from_millis(5)).await;
        }
        let err = kv.put("x", "1".into(), NONE, None).await.unwrap_err();
        assert!(matches!(err, KvError::Unavailable { .. }), "{err}");
        assert!(err
            .to_string()
            .contains("nothing was changed, try again in"));
    });
}

// The platform takes calls and answers none, or answers each with an error of its own. A
// write ends as "may have been done", a read as "unavailable", both in bounded time.
#[test]
fn calls_platform_hangs_or_errs() {
    for down in [Down::Hang, Down::Error] {
        run(async {
            let platform = platform().await;
            let (a, b) = (hasty(&platform, "a"), hasty(&platform, "b"));
            platform.set_down(Some(down));
            let err = a.put("x", "1".into(), NONE, None).await.unwrap_err();
            assert!(err.may_have_run(), "{down:?}: {err}");
            let err = b.get("x").await.unwrap_err();
            assert!(
                matches!(err, KvError::Unavailable { .. }),
                "{down:?}: {err}"
            );
            platform.set_down(None);
            assert_eq!(get_at_last(&a, "x").await, None);
        });
    }
}

// A router asks all the time while the platform is away. After the first failure its calls
// fail at once, and only now and then one goes out to see.
#[test]
fn calls_in_outage_are_few() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        platform.set_down(Some(Down::Error));
        let mut asked = 0;
        while platform.calls("get") < 4 {
            assert!(kv.get("x").await.is_err());
            asked += 1;
            task::sleep(Duration::from_millis(1)).await;
        }
        assert!(asked > 40, "{asked} asked, 4 called");
    });
}

// A kept connection goes silent for good: something between the two ends lost track of it.
// The router's reads would hang for ever though new connections work.
#[test]
fn get_on_silent_connection() {
    run(async {
        let platform = platform().await;
        let kv = hasty(&platform, "a");
        kv.put("x", "1".into(), NONE, None).await.unwrap();
        platform.silence();
        let entry = kv.get("x").await.unwrap().unwrap();
        assert_eq!(&*entry.value, "1");
        assert_eq!(platform.calls("get"), 2, "the silent one and a new one");
        kv.get("x").await.unwrap();
        assert_eq!(platform.calls("get"), 3);
    });
}

// Several kept connections go silent at once. A router that trusted the others after the
// first would spend a timeout on each.
#[test]
fn get_on_silent_connections() {
    run(async {
        let platform = platform().await;
        let kv = hasty(&platform, "a");
        let pair = || zip(kv.get("x"), kv.get("x"));
        assert_eq!(pair().await, (Ok(None), Ok(None)));
        platform.silence();
        platform.clear_counts();
        assert_eq!(kv.get("x").await, Ok(None));
        assert_eq!(platform.calls("get"), 2, "a silent one and a new one");
        assert_eq!(pair().await, (Ok(None), Ok(None)));
        assert_eq!(platform.calls("get"), 4);
    });
}

// The same for a watch: its wait is over and no answer came. It is made again elsewhere.
#[test]
fn watch_on_silent_connection() {
    run(async {
        let platform = platform().await;
        let kv = hasty(&platform, "a");
        kv.put("x", "1".into(), NONE, None).await.unwrap();
        platform.silence();
        let seen = kv.watch("x", NONE, Span::millis(50)).await;
        assert!(matches!(seen, Ok(Watched::Changed(_))));
    });
}

// A write on a silent connection is not made again by itself: nobody knows whether it got
// through. The next one goes over a new connection.
#[test]
fn put_on_silent_connection() {
    run(async {
        let platform = platform().await;
        let kv = hasty(&platform, "a");
        kv.get("x").await.unwrap();
        platform.silence();
        let err = kv.put("x", "1".into(), NONE, None).await.unwrap_err();
        assert!(err.may_have_run(), "{err}");
        assert_eq!(platform.calls("put"), 1);
        assert_eq!(get_at_last(&kv, "x").await, None);
    });
}

#[test]
fn calls_of_a_client_cut_off() {
    run(async {
        let platform = platform().await;
        let (a, b) = (hasty(&platform, "a"), hasty(&platform, "b"));
        platform.cut("a");
        assert!(a.get("x").await.is_err());
        assert_eq!(b.get("x").await, Ok(None));
        platform.heal("a");
        assert_eq!(get_at_last(&a, "x").await, None);
        let mine = |c: &standins::platform::CallCount| c.client == "b" && c.kind == "get";
        let counts = platform.counts();
        assert_eq!(counts.iter().find(|c| mine(c)).unwrap().calls, 1);
    });
}

/// Reads once the circuit lets a call through.
async fn get_at_last(kv: &kvstore::Kv, key: &str) -> Option<String> {
    loop {
        match kv.get(key).await {
            Ok(entry) => return entry.map(|e| e.value.to_string()),
            Err(KvError::Unavailable { retry, .. }) => task::sleep(retry.into()).await,
            Err(e) => panic!("{e}"),
        }
    }
}
