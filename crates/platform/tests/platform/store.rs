//! The operators' configuration on the platform: races, lost answers and restores.

use {
    crate::common::{
        client,
        platform,
        run,
        write, //
    },
    ::platform::store::{
        read,
        ApplyError,
        Base,
        Revision, //
    },
};

fn base() -> Base {
    Base::default()
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
