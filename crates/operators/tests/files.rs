//! Files that can't be read at all.

use {
    expect_test::{
        expect,
        Expect, //
    },
    operators::{
        render,
        Source,
        MAX_FILE_BYTES, //
    },
    std::{
        fs,
        path::PathBuf, //
    },
};

/// Writes a file into the test's own directory.
fn file(name: &str, bytes: &[u8]) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, bytes).unwrap();
    path
}

fn check(path: PathBuf, expect: Expect) {
    let error = Source::from_file(&path).unwrap_err();
    let dir = format!("{}/", env!("CARGO_TARGET_TMPDIR"));
    let shown = render(&error, false).replace(&dir, "");
    expect.assert_eq(&format!("shown:\n{shown}"));
}

#[test]
fn from_file_missing() {
    check(
        PathBuf::from("no-such.toml"),
        expect![[r#"
            shown:
              × no-such.toml does not exist
              help: check the path; `chervilwind defaults` prints files to start from
        "#]],
    );
}

#[test]
fn from_file_unreadable() {
    check(
        PathBuf::from("/"),
        expect![[r#"
            shown:
              × / can't be read: Is a directory (os error 21)
              help: give a regular file that this user may read
        "#]],
    );
}

#[test]
fn from_file_empty() {
    check(
        file("empty.toml", b" \n\n"),
        expect![[r#"
            shown:
              × empty.toml is empty
              help: write it anew; `chervilwind defaults` prints files to start from
        "#]],
    );
}

#[test]
fn from_file_too_large() {
    let bytes = vec![b'#'; MAX_FILE_BYTES as usize + 1];
    check(
        file("large.toml", &bytes),
        expect![[r#"
            shown:
              × large.toml has more than 4194304 bytes
              help: check that this is the right file; shorten it to at most 4 MiB
        "#]],
    );
}

#[test]
fn from_file_largest() {
    let bytes = vec![b'#'; MAX_FILE_BYTES as usize];
    let source = Source::from_file(&file("largest.toml", &bytes)).unwrap();
    assert_eq!(source.text().len() as u64, MAX_FILE_BYTES);
}

#[test]
fn from_file_no_text() {
    check(
        file("binary.toml", b"a = 1\n\xff\xfe"),
        expect![[r#"
            shown:
              × binary.toml is not UTF-8 text: byte 6 is wrong
              help: check that this is the right file; save it as UTF-8
        "#]],
    );
}
