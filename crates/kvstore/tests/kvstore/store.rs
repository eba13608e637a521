//! The operators' configuration on the platform: written, read, cleaned up, answers lost.

use {
    crate::common::{
        client,
        hasty,
        platform,
        run,
        write, //
    },
    async_std::task,
    kvstore::store::{
        apply,
        join,
        read,
        repair,
        split,
        ApplyError,
        Base,
        Change,
        Part,
        ReadError,
        Revision,
        Seen,
        Watcher,
        PART_MAX, //
    },
    standins::platform::Down,
    std::time::Duration,
};

fn base() -> Base {
    Base::default()
}

fn change(base: Base, parts: Vec<Part>) -> Change {
    Change {
        base,
        parts,
        writer: "ada".to_owned(),
        floor: Revision::NONE,
    }
}

#[test]
fn apply_and_read() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        assert_eq!(read(&kv, &[]).await, Ok(None));
        let first = write(&kv, "ada", base(), 0, "one").await.unwrap();
        assert_eq!(first.revision, Revision(1));
        let config = read(&kv, &[]).await.unwrap().unwrap();
        assert_eq!(config.writer, "ada");
        assert_eq!(&*config.parts[0].text, "one");
        let second = write(&kv, "ben", config.base(), 0, "two").await.unwrap();
        assert_eq!(second.revision, Revision(2));
    });
}

#[test]
fn apply_large_document() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        let line = |i| format!("[workspaces.w{i:05}]\nshare = {i}\n# {:0>300}\n", i);
        let text: String = (0..6_100).map(line).collect();
        let mut parts = split("fleet", &text);
        assert!(text.len() > 1 << 20 && parts.len() > 4);
        apply(&kv, change(base(), parts.clone())).await.unwrap();
        let config = read(&kv, &[]).await.unwrap().unwrap();
        assert_eq!(join(&config.parts), text);
        // A change in one place writes few parts, and a reader fetches few.
        let other = text.replace("share = 3000\n", "share = 3001\n");
        parts = split("fleet", &other);
        platform.clear_counts();
        apply(&kv, change(config.base(), parts)).await.unwrap();
        assert!(platform.calls("put") <= 4, "{} puts", platform.calls("put"));
        platform.clear_counts();
        let config = read(&kv, &config.parts).await.unwrap().unwrap();
        assert_eq!(join(&config.parts), other);
        assert!(platform.calls("get") <= 4, "{} gets", platform.calls("get"));
    });
}

#[test]
fn apply_part_too_large() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        let part = Part::new("fleet", "x".repeat(PART_MAX + 1));
        let err = apply(&kv, change(base(), vec![part])).await.unwrap_err();
        assert!(matches!(err, ApplyError::TooLarge { .. }));
        assert!(err.to_string().ends_with("split it in two"), "{err}");
        assert_eq!(read(&kv, &[]).await, Ok(None));
    });
}

#[test]
fn apply_doubled_name() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        let parts = vec![Part::new("a", "1"), Part::new("a", "2")];
        let err = apply(&kv, change(base(), parts)).await.unwrap_err();
        assert_eq!(err, ApplyError::Doubled("a".to_owned()));
    });
}

// Two operators look at the same configuration and change it. The second must not undo the
// first one's change without knowing of it: it is told who was first, and what to do.
#[test]
fn apply_on_old_base() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        write(&kv, "ada", base(), 0, "one").await.unwrap();
        let err = write(&kv, "ben", base(), 0, "two").await.unwrap_err();
        let expected = ApplyError::Conflict {
            revision: Revision(1),
            writer: "ada".to_owned(),
        };
        assert_eq!(err, expected);
        let text = "`ada` applied revision 1 since you looked; look again, \
                    redo your change on it and apply again";
        assert_eq!(err.to_string(), text);
    });
}

// An operator applies a change. It takes effect, and the answer is lost, several times over.
// The operator must not be told of a conflict with their own change, nor apply it twice.
#[test]
fn apply_answers_lost() {
    for lost in 1..=5 {
        run(async {
            let platform = platform().await;
            let kv = client(&platform, "a");
            platform.lose_answers(lost);
            let done = write(&kv, "ada", base(), 0, "one").await;
            assert_eq!(done.map(|a| a.revision), Ok(Revision(1)), "{lost} lost");
            let config = read(&kv, &[]).await.unwrap().unwrap();
            assert_eq!(config.revision, Revision(1));
            assert_eq!(&*config.parts[0].text, "one");
        });
    }
}

// The answer to Ada's change is lost, and before she asks again Ben has changed it further.
// Ada must be told that hers was accepted: Ben's is built on it.
#[test]
fn apply_answer_lost_then_followed() {
    run(async {
        let platform = platform().await;
        let (a, b) = (client(&platform, "a"), client(&platform, "b"));
        write(&a, "eve", base(), 0, "zero").await.unwrap();
        let before = read(&a, &[]).await.unwrap().unwrap();
        // The part is there already, so the first write to come is the head's.
        let text = "zero";
        platform.lose_answers(1);
        let ada = task::spawn(async move { write(&a, "ada", before.base(), 0, text).await });
        let hers = loop {
            let config = read(&b, &[]).await.unwrap().unwrap();
            if config.writer == "ada" {
                break config;
            }
        };
        for _ in 0..6 {
            let now = read(&b, &[]).await.unwrap().unwrap();
            write(&b, "ben", now.base(), 0, "zero, ben").await.unwrap();
        }
        let done = ada.await.unwrap();
        assert_eq!((done.revision, done.write), (hers.revision, hers.write));
    });
}

// The platform hangs, refuses or errs for the whole of an operator's try. What the operator
// is told must be true: after "nothing was changed", nothing is.
#[test]
fn apply_platform_down() {
    for down in [Down::Hang, Down::Refuse, Down::Error] {
        run(async {
            let platform = platform().await;
            let kv = hasty(&platform, "a");
            write(&kv, "ada", base(), 0, "one").await.unwrap();
            let before = read(&kv, &[]).await.unwrap().unwrap();
            platform.set_down(Some(down));
            let err = write(&kv, "ada", before.base(), 0, "two")
                .await
                .unwrap_err();
            assert!(matches!(err, ApplyError::NotApplied(_)), "{down:?}: {err}");
            platform.set_down(None);
            let other = hasty(&platform, "b");
            assert_eq!(read(&other, &[]).await, Ok(Some(before)), "{down:?}");
        });
    }
}

// The platform goes down right after it took the change, for a while. The operator's try
// outlasts it and ends with the truth.
#[test]
fn apply_platform_down_in_the_middle() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        write(&kv, "ada", base(), 0, "one").await.unwrap();
        let before = read(&kv, &[]).await.unwrap().unwrap();
        // The part is there already: the answer lost is the head's.
        platform.lose_answers(1);
        let again = before.base();
        let ada = task::spawn(async move { write(&kv, "ada", again, 0, "one").await });
        while platform.calls("put") < 3 {
            task::sleep(Duration::from_millis(1)).await;
        }
        platform.set_down(Some(Down::Error));
        task::sleep(Duration::from_millis(200)).await;
        platform.set_down(None);
        assert_eq!(ada.await.map(|a| a.revision), Ok(Revision(2)));
        let other = client(&platform, "b");
        let config = read(&other, &[]).await.unwrap().unwrap();
        assert_eq!(config.revision, Revision(2));
    });
}

// The platform is so slow that each answer comes after the client gave up, while the write
// takes effect. When it is fast again, the change is in force once.
#[test]
fn apply_platform_slow() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        write(&kv, "ada", base(), 0, "one").await.unwrap();
        let before = read(&kv, &[]).await.unwrap().unwrap();
        let (started, puts) = (hasty(&platform, "a"), platform.calls("put"));
        // The head is read while the platform is fast; the first slow call is a write.
        platform.set_slow(Duration::from_millis(100));
        let ada = task::spawn(async move { write(&started, "ada", before.base(), 0, "two").await });
        while platform.calls("put") == puts {
            task::sleep(Duration::from_millis(1)).await;
        }
        platform.set_slow(Duration::from_secs(3));
        while platform.calls("put") < puts + 3 {
            task::sleep(Duration::from_millis(1)).await;
        }
        platform.set_slow(Duration::ZERO);
        assert_eq!(ada.await.map(|a| a.revision), Ok(Revision(2)));
        let config = read(&client(&platform, "b"), &[]).await.unwrap().unwrap();
        assert_eq!(config.revision, Revision(2));
        assert_eq!(&*config.parts[0].text, "two");
    });
}

// Changes come day after day. The platform would fill up with parts that no one needs.
#[test]
fn apply_cleans_up() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        let mut on = base();
        for i in 0..30 {
            write(&kv, "ada", on, 0, &format!("text {i}"))
                .await
                .unwrap();
            on = read(&kv, &[]).await.unwrap().unwrap().base();
        }
        let kept = platform.keys("config/part/").len();
        assert!(kept <= 6, "{kept} parts kept");
        // What a change costs: the head read, a part and the head written, a part removed.
        platform.clear_counts();
        write(&kv, "ada", on, 0, "one more").await.unwrap();
        let calls = ["get", "put", "delete"].map(|kind| platform.calls(kind));
        assert_eq!(calls, [1, 2, 1]);
    });
}

// An operator's cleaning is late: the part that it removes has been brought back meanwhile.
// Routers would find a part of the configuration in force missing.
#[test]
fn clean_late_after_part_came_back() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        let mut on = base();
        for i in 0..6 {
            write(&kv, "ada", on, 0, &format!("text {i}"))
                .await
                .unwrap();
            on = read(&kv, &[]).await.unwrap().unwrap().base();
        }
        // The next change removes "text 0" first, and that comes late; then it writes it.
        platform.hold_writes(1);
        write(&kv, "ada", on, 0, "text 0").await.unwrap();
        assert_eq!(platform.calls("delete"), 1);
        platform.release_writes().await;
        let config = read(&kv, &[]).await.unwrap().unwrap();
        assert_eq!(&*config.parts[0].text, "text 0");
    });
}

// Ada's write is still under way when she gives it up. Nothing of it is seen when she looks.
// If she were told that nothing was changed, it would come into force later.
#[test]
fn apply_write_done_late() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        write(&kv, "eve", base(), 0, "one").await.unwrap();
        let before = read(&kv, &[]).await.unwrap().unwrap();
        // The part is there already, so the write held is the head's.
        platform.hold_writes(1);
        let ada = write(&kv, "ada", before.base(), 0, "one").await.unwrap();
        let hers = read(&kv, &[]).await.unwrap().unwrap();
        assert_eq!(hers.write, ada.write);
        let ben = write(&kv, "ben", hers.base(), 0, "two").await.unwrap();
        platform.release_writes().await;
        let config = read(&kv, &[]).await.unwrap().unwrap();
        assert_eq!(config.write, ben.write);
    });
}

// A reader is slow, and several new configurations come while it fetches parts. It must see
// one of them whole, never parts of two, nor fail as a part is gone.
#[test]
fn read_while_written() {
    run(async {
        let platform = platform().await;
        let writer = client(&platform, "a");
        let reader = client(&platform, "b");
        let pair = |i: u64| {
            vec![
                Part::new("x", format!("x{i}")),
                Part::new("y", format!("y{i}")),
            ]
        };
        apply(&writer, change(base(), pair(1))).await.unwrap();
        let writes = task::spawn(async move {
            for i in 2..=60 {
                let on = Revision(i - 1).into();
                apply(&writer, change(on, pair(i))).await.unwrap();
            }
        });
        let mut last = Revision::NONE;
        while last < Revision(60) {
            let config = read(&reader, &[]).await.unwrap().unwrap();
            assert_eq!(config.parts, pair(config.revision.0));
            assert!(config.revision >= last);
            last = config.revision;
        }
        writes.await;
    });
}

// A router reads the head, and its answer is a while under way. Meanwhile so many changes
// come that the parts it names are removed. The router must read the newer one instead.
#[test]
fn read_parts_gone() {
    run(async {
        let platform = platform().await;
        let (a, b) = (client(&platform, "a"), client(&platform, "b"));
        write(&a, "ada", base(), 0, "text 1").await.unwrap();
        platform.stall("b");
        let before = platform.calls("get");
        let reading = task::spawn(async move { read(&b, &[]).await });
        while platform.calls("get") == before {
            task::sleep(Duration::from_millis(1)).await;
        }
        for i in 2..=9 {
            let on = Revision(i - 1).into();
            write(&a, "ada", on, 0, &format!("text {i}")).await.unwrap();
        }
        platform.let_go("b");
        let config = reading.await.unwrap().unwrap();
        assert_eq!(config.revision, Revision(9));
        assert_eq!(&*config.parts[0].text, "text 9");
    });
}

// A part of the configuration in force is not there, by whichever fault. A router keeps what
// it has and says what to do; it must not take the rest for the whole.
#[test]
fn read_part_missing() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        write(&kv, "ada", base(), 0, "text").await.unwrap();
        let config = read(&kv, &[]).await.unwrap().unwrap();
        let key = &platform.keys("config/part/")[0];
        let entry = kv.get(key).await.unwrap().unwrap();
        kv.delete(key, entry.revision).await.unwrap();
        let err = read(&kv, &[]).await.unwrap_err();
        assert!(matches!(err, ReadError::Missing { .. }), "{err}");
        assert!(
            err.to_string().contains("remove the key `config/head`"),
            "{err}"
        );
        // Who has the part needs no other.
        let known = read(&kv, &config.parts).await;
        assert_eq!(known, Ok(Some(config.clone())));
        // The remedy: a router that watches sees the head gone, and writes it back.
        let head = kv.get("config/head").await.unwrap().unwrap();
        kv.delete("config/head", head.revision).await.unwrap();
        let seen = Watcher::new().next(&kv, Some(&config)).await.unwrap();
        let revision = Revision::NONE;
        assert_eq!(seen, Seen::Older { revision });
        repair(&kv, &config).await.unwrap();
        assert_eq!(read(&kv, &[]).await, Ok(Some(config)));
    });
}
