//! Routers that wait for a new configuration.

use {
    crate::common::{
        client,
        hasty,
        platform,
        run,
        write, //
    },
    async_std::task,
    kvstore::{
        store::{
            read,
            Base,
            Config,
            Revision,
            Seen,
            Watcher, //
        },
        KeyRevision, Kv,
    },
    standins::platform::Down,
    std::time::Duration,
};

/// Watches until there is a later configuration.
async fn newer(watcher: &mut Watcher, kv: &Kv, have: Option<&Config>) -> Config {
    loop {
        if let Ok(Seen::Newer(config)) = watcher.next(kv, have).await {
            return config;
        }
    }
}

#[test]
fn watch_from_nothing() {
    run(async {
        let platform = platform().await;
        let (a, b) = (client(&platform, "a"), client(&platform, "b"));
        let mut watcher = Watcher::new();
        let waiting = task::spawn(async move { newer(&mut watcher, &b, None).await });
        while platform.calls("watch") == 0 {
            task::sleep(Duration::from_millis(1)).await;
        }
        write(&a, "ada", Base::default(), 0, "one").await.unwrap();
        assert_eq!(waiting.await.revision, Revision(1));
    });
}

// The watch's connection goes silent, and a change is applied. The router would never hear
// of it; the watch ends without an answer and is made again on a new connection.
#[test]
fn watch_gone_silent() {
    run(async {
        let platform = platform().await;
        let (a, b) = (hasty(&platform, "a"), hasty(&platform, "b"));
        write(&a, "ada", Base::default(), 0, "one").await.unwrap();
        let first = read(&a, &[]).await.unwrap().unwrap();
        let mut watcher = Watcher::new();
        watcher.next(&b, Some(&first)).await.unwrap();
        let have = first.clone();
        let waiting = task::spawn(async move { newer(&mut watcher, &b, Some(&have)).await });
        while platform.calls("watch") < 2 {
            task::sleep(Duration::from_millis(1)).await;
        }
        platform.silence();
        let other = hasty(&platform, "c");
        write(&other, "ada", first.base(), 0, "two").await.unwrap();
        assert_eq!(waiting.await.revision, Revision(2));
    });
}

// The platform is away for a while, and a change is applied as soon as it is back.
#[test]
fn watch_over_outage() {
    for down in [Down::Refuse, Down::Hang, Down::Error] {
        run(async {
            let platform = platform().await;
            let (a, b) = (hasty(&platform, "a"), hasty(&platform, "b"));
            let mut watcher = Watcher::new();
            let waiting = task::spawn(async move { newer(&mut watcher, &b, None).await });
            while platform.calls("watch") == 0 {
                task::sleep(Duration::from_millis(1)).await;
            }
            platform.set_down(Some(down));
            task::sleep(Duration::from_millis(500)).await;
            platform.set_down(None);
            write(&a, "ada", Base::default(), 0, "one").await.unwrap();
            assert_eq!(waiting.await.revision, Revision(1));
        });
    }
}

// The platform is restored and a change applied to it, so that the head's key has the very
// revision again that the router saw before. The watch would wait for a later one, and the
// change would not come into force until the next.
#[test]
fn watch_same_key_revision_again() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        write(&kv, "ada", Base::default(), 0, "one").await.unwrap();
        platform.snapshot();
        let one = read(&kv, &[]).await.unwrap().unwrap();
        write(&kv, "ada", one.base(), 0, "two").await.unwrap();
        let two = read(&kv, &[]).await.unwrap().unwrap();
        let key = head_key(&kv).await;
        let mut watcher = Watcher::new();
        watcher.next(&kv, Some(&two)).await.unwrap();
        platform.restore();
        write(&kv, "ada", two.base(), 2, "three").await.unwrap();
        assert_eq!(head_key(&kv).await, key);
        let three = newer(&mut watcher, &kv, Some(&two)).await;
        assert_eq!(&*three.parts[0].text, "three");
    });
}

async fn head_key(kv: &Kv) -> KeyRevision {
    kv.get("config/head").await.unwrap().unwrap().revision
}
