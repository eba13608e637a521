//! A platform that comes back with an older state.

use {
    crate::common::{
        client,
        platform,
        run,
        write, //
    },
    async_std::task,
    kvstore::store::{
        read,
        repair,
        ApplyError,
        Base,
        Config,
        Repaired,
        Revision,
        Seen,
        Watcher, //
    },
    standins::platform::Handle,
    std::time::Duration, //
};

/// A platform that had revisions 1 to 4 and was restored to 2, and the configuration 4.
async fn restored() -> (Handle, Config) {
    let platform = platform().await;
    let kv = client(&platform, "a");
    for i in 1..=4 {
        let on = match read(&kv, &[]).await.unwrap() {
            Some(config) => config.base(),
            None => Base::default(),
        };
        write(&kv, "ada", on, 0, &format!("text {i}"))
            .await
            .unwrap();
        if i == 2 {
            platform.snapshot();
        }
    }
    let config = read(&kv, &[]).await.unwrap().unwrap();
    assert!(platform.restore());
    (platform, config)
}

// The platform comes back from a backup. An operator looks at it, sees the older document
// and changes it: what was accepted since the backup would silently be gone everywhere.
#[test]
fn apply_on_restored_document() {
    run(async {
        let (platform, _) = restored().await;
        let kv = client(&platform, "b");
        let old = read(&kv, &[]).await.unwrap().unwrap();
        assert_eq!(old.revision, Revision(2));
        let err = write(&kv, "ben", old.base(), 4, "text").await.unwrap_err();
        let (base, floor) = (Revision(2), Revision(4));
        assert_eq!(err, ApplyError::Behind { base, floor });
        assert_eq!(read(&kv, &[]).await, Ok(Some(old)));
    });
}

// The platform is restored, and an operator who reaches no router writes to it: there are two
// configurations of one revision. A change made on one must not replace the other.
#[test]
fn apply_on_other_of_two() {
    run(async {
        let (platform, config) = restored().await;
        let kv = client(&platform, "b");
        for text in ["other 3", "other 4"] {
            let old = read(&kv, &[]).await.unwrap().unwrap();
            write(&kv, "ben", old.base(), 0, text).await.unwrap();
        }
        let err = write(&kv, "eve", config.base(), 4, "text 5")
            .await
            .unwrap_err();
        let expected = ApplyError::Conflict {
            revision: Revision(4),
            writer: "ben".to_owned(),
        };
        assert_eq!(err, expected);
        let mut watcher = Watcher::new();
        let seen = watcher.next(&kv, Some(&config)).await.unwrap();
        let writer = "ben".to_owned();
        assert_eq!(seen, Seen::Other { writer });
    });
}

// The restored state lacks a part that its head names: a removal came late, after the
// restore. A change that has the same part must write it, or no router could read it.
#[test]
fn apply_on_restored_platform_without_part() {
    run(async {
        let (platform, config) = restored().await;
        let kv = client(&platform, "b");
        for key in platform.keys("config/part/") {
            let entry = kv.get(&key).await.unwrap().unwrap();
            kv.delete(&key, entry.revision).await.unwrap();
        }
        write(&kv, "ben", config.base(), 4, "text 2").await.unwrap();
        let now = read(&kv, &[]).await.unwrap().unwrap();
        assert_eq!(&*now.parts[0].text, "text 2");
    });
}

// The same, but the operator made the change on what routers have in force. It is accepted
// under a revision above all that the fleet knows; a lower one would be ignored by routers.
#[test]
fn apply_on_configuration_in_force() {
    run(async {
        let (platform, config) = restored().await;
        let kv = client(&platform, "b");
        let done = write(&kv, "ben", config.base(), 4, "text 5").await.unwrap();
        assert_eq!(done.revision, Revision(5));
    });
}

// The platform is restored after an operator's parts were written and before the head was.
// The head would name parts that are gone, and no router could read the configuration.
#[test]
fn apply_restored_in_the_middle() {
    run(async {
        let platform = platform().await;
        platform.snapshot();
        platform.set_slow(Duration::from_millis(500));
        let kv = client(&platform, "a");
        let ada = task::spawn(async move { write(&kv, "ada", Base::default(), 0, "one").await });
        while platform.keys("config/part/").is_empty() {
            task::sleep(Duration::from_millis(1)).await;
        }
        platform.restore();
        platform.set_slow(Duration::ZERO);
        ada.await.unwrap();
        let config = read(&client(&platform, "b"), &[]).await.unwrap().unwrap();
        assert_eq!(&*config.parts[0].text, "one");
    });
}

// All routers restart empty after the platform came back from a backup. They would take the
// older configuration, though a later one was in force. So a router that has the later one
// writes it back, unchanged, as soon as it sees the older one.
#[test]
fn repair_restored_platform() {
    run(async {
        let (platform, config) = restored().await;
        let kv = client(&platform, "b");
        assert_eq!(repair(&kv, &config).await, Ok(Repaired::Written));
        assert_eq!(repair(&kv, &config).await, Ok(Repaired::NotNeeded));
        assert_eq!(read(&kv, &[]).await, Ok(Some(config.clone())));
        let done = write(&kv, "ben", config.base(), 4, "text 5").await;
        assert_eq!(done.map(|a| a.revision), Ok(Revision(5)));
    });
}

// The platform comes back with nothing at all.
#[test]
fn repair_emptied_platform() {
    run(async {
        let platform = platform().await;
        platform.snapshot();
        let kv = client(&platform, "a");
        write(&kv, "ada", Base::default(), 0, "one").await.unwrap();
        let config = read(&kv, &[]).await.unwrap().unwrap();
        platform.restore();
        assert_eq!(read(&kv, &[]).await, Ok(None));
        assert_eq!(repair(&kv, &config).await, Ok(Repaired::Written));
        assert_eq!(read(&kv, &[]).await, Ok(Some(config)));
    });
}

// Every router repairs at the same time, and an operator changes the configuration. One
// repair wins or none is needed; the operator's change is not taken back.
#[test]
fn repair_racing_with_operator() {
    for _ in 0..20 {
        run(async {
            let (platform, config) = restored().await;
            let (a, b) = (client(&platform, "a"), client(&platform, "b"));
            let (repaired, applied) = futures_lite::future::zip(
                repair(&a, &config),
                write(&b, "ben", config.base(), 4, "text 5"),
            )
            .await;
            let now = read(&a, &[]).await.unwrap().unwrap();
            match applied {
                Ok(done) => assert_eq!((now.revision, now.write), (Revision(5), done.write)),
                Err(ApplyError::Conflict { .. }) => {
                    assert_eq!(repaired, Ok(Repaired::Written));
                    assert_eq!(now, config);
                }
                Err(e) => panic!("{e}"),
            }
        });
    }
}

// A router watches while the platform is restored. It keeps the later configuration in
// force, says that the platform's is older, and after the repair sees nothing new.
#[test]
fn watch_restored_platform() {
    run(async {
        let (platform, config) = restored().await;
        let kv = client(&platform, "b");
        let mut watcher = Watcher::new();
        let seen = watcher.next(&kv, Some(&config)).await.unwrap();
        let revision = Revision(2);
        assert_eq!(seen, Seen::Older { revision });
        repair(&kv, &config).await.unwrap();
        let seen = watcher.next(&kv, Some(&config)).await.unwrap();
        assert_eq!(seen, Seen::Same);
    });
}
