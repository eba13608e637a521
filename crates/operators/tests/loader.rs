//! Loading part by part against parsing the whole text.

use {
    kvstore::store::{
        split,
        Config,
        Part,
        Revision,
        WriteId, //
    },
    operators::{
        Document,
        Fleet,
        Loader,
        Source,
        FLEET, //
    },
    proptest::{
        collection::vec,
        prelude::*,
        sample::select, //
    },
};

/// Lines that fit together now and then, and mostly clash.
const LINES: [&str; 25] = [
    "[policy]",
    "mode = \"alone\"",
    "policy.mode = \"static\"",
    "[policy] # once.",
    "[service.s]",
    "kind = \"plain\"",
    "[service]",
    "s.kind = \"model\"",
    "[profile.p]",
    "[profile.q]",
    "urgency = 3",
    "[workspace.a]",
    "[workspace.b]",
    "[workspace.c]",
    "[workspace.d]",
    "share = 2",
    "queue = 7",
    "[workspace]",
    "  [ workspace . e ]",
    "f = { share = 3 }",
    "workspace.g.share = 4",
    "[workspace.\"a\"]",
    "[[workspace.a]]",
    "# [workspace.h]",
    "x = \"\"\"",
];

/// What every document needs, so that some of them are good.
const NEEDED: &str = "[service.t]\nkind = \"model\"\n[profile.r]\n[workspace.z]\n";

fn config(parts: &[String]) -> Config {
    let named = parts.iter().enumerate();
    Config {
        revision: Revision(1),
        writer: "ada".to_owned(),
        write: WriteId::random(),
        parts: named
            .map(|(i, text)| Part::new(i.to_string(), text.as_str()))
            .collect(),
    }
}

fn whole(parts: &[String]) -> Result<Fleet, String> {
    let source = Source::from_text("revision 1", &parts.concat());
    let parsed = Document::parse(&source);
    parsed.map(Fleet::new).map_err(|e| e.to_string())
}

/// A text in parts, cut between any two lines.
fn parts() -> impl Strategy<Value = Vec<String>> {
    let line = select(&LINES[..]).prop_map(|l| format!("{l}\n"));
    let part = vec(line, 0..4).prop_map(|lines| lines.concat());
    (vec(part, 0..6), 0..6_usize).prop_map(|(mut parts, at)| {
        parts.insert(at.min(parts.len()), NEEDED.to_owned());
        parts
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn load_like_whole(texts in vec(parts(), 1..5)) {
        let mut loader = Loader::default();
        for parts in &texts {
            let loaded = loader.load(&config(parts)).map_err(|e| e.to_string());
            prop_assert_eq!(loaded, whole(parts), "{}", parts.join("---\n"));
        }
    }
}

#[test]
fn load_change() {
    // One workspace of many gets another share: what the other parts say must stay.
    let mut text = FLEET.to_owned();
    for i in 0..500 {
        text += &format!("[workspace.extra-{i}]\nshare = 2\n");
    }
    let mut loader = Loader::default();
    let load = |loader: &mut Loader, text: &str| {
        let parts = split("fleet", text);
        assert!(parts.len() > 2);
        let texts: Vec<String> = parts.iter().map(|p| p.text.to_string()).collect();
        loader.load(&config(&texts)).unwrap()
    };
    load(&mut loader, &text);
    let text = text.replace(
        "[workspace.extra-77]\nshare = 2",
        "[workspace.extra-77]\nshare = 5",
    );
    let fleet = load(&mut loader, &text);
    assert_eq!(fleet.share("extra-77").unwrap().get(), 5.0);
    assert_eq!(fleet.share("extra-78").unwrap().get(), 2.0);
    let source = Source::from_text("fleet.toml", &text);
    assert_eq!(*fleet.document(), Document::parse(&source).unwrap());
}

#[test]
fn load_bad_keeps_last() {
    let mut loader = Loader::default();
    let good = [NEEDED.to_owned()];
    loader.load(&config(&good)).unwrap();
    let bad = [NEEDED.to_owned(), "[workspace.z]\n".to_owned()];
    let error = loader.load(&config(&bad)).unwrap_err();
    assert!(error.to_string().contains("`[workspace.z]` is given twice"));
    assert_eq!(loader.load(&config(&good)).unwrap(), whole(&good).unwrap());
}
