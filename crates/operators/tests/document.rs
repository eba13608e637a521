//! Checks of configuration documents, as an operator sees them.

use {
    expect_test::{
        expect,
        Expect, //
    },
    operators::{
        render,
        Document,
        Kind,
        Mode,
        Source,
        Unit, //
    },
    policy::{
        Share,
        Slots,
        Span,
        Units, //
    },
};

const GOOD: &str = r#"
[service.drafting-llm]
kind = "model"
[service.broker-desk]
kind = "plain"
window = 3.5
[profile.renewal]
share = 2
deadline = "250ms"
[workspace.bristol]
share = 0.5
queue = 9
[workspace.leeds]
"#;

/// Appends lines to a good document and compares what the checker says.
fn check(more: &str, expect: Expect) {
    let text = format!("{GOOD}{more}\n");
    check_all(&text, expect);
}

fn check_all(text: &str, expect: Expect) {
    let error = Document::parse(&Source::from_text("fleet.toml", text)).unwrap_err();
    expect.assert_eq(&error.to_string());
}

fn good() -> Document {
    Document::parse(&Source::from_text("fleet.toml", GOOD)).unwrap()
}

#[test]
fn parse_good() {
    let d = good();
    assert_eq!(d.policy.mode, Mode::Fleet);
    let llm = &d.services[&"drafting-llm".parse().unwrap()];
    assert_eq!((llm.kind, llm.unit), (Kind::Model, Unit::Tokens));
    assert_eq!((llm.window, llm.credit), (Units(200.0), Units(50.0)));
    assert_eq!((llm.queue, llm.start), (200, Slots(8)));
    let desk = &d.services[&"broker-desk".parse().unwrap()];
    assert_eq!((desk.kind, desk.unit), (Kind::Plain, Unit::Requests));
    assert_eq!(desk.window, Units(3.5));
    let renewal = &d.profiles[&"renewal".parse().unwrap()];
    assert_eq!(renewal.share, Share::try_from(2.0).unwrap());
    assert_eq!(renewal.deadline, Span::millis(250));
    assert!(!renewal.idempotent);
    let bristol = &d.workspaces[&"bristol".parse().unwrap()];
    assert_eq!(bristol.share, Share::try_from(0.5).unwrap());
    assert_eq!(llm.queue_of(bristol), 9);
    assert_eq!(d.workspaces[&"leeds".parse().unwrap()].share, Share::ONE);
}

#[test]
fn hint_by_unit() {
    let d = good();
    let renewal = &d.profiles[&"renewal".parse().unwrap()];
    let hint = |s: &str| d.services[&s.parse().unwrap()].hint(renewal);
    assert_eq!(hint("drafting-llm"), Units(300.0));
    assert_eq!(hint("broker-desk"), Units(1.0));
}

#[test]
fn parse_unknown_key() {
    check(
        "[profile.batch]\nshares = 1\nqqqqqqq = 2",
        expect![[r#"
            fleet.toml:15: profile "batch" has the unknown key `shares`; did you mean `share`? known keys: `share`, `urgency`, `idempotent`, `weight`, `deadline`, `hint`
            fleet.toml:16: profile "batch" has the unknown key `qqqqqqq`; remove it; known keys: `share`, `urgency`, `idempotent`, `weight`, `deadline`, `hint`"#]],
    );
}

#[test]
fn parse_unknown_table() {
    check("[profiles.batch]\nshare = 1", expect!["fleet.toml:14: the document has the unknown key `profiles`; did you mean `profile`? known keys: `policy`, `service`, `profile`, `workspace`"]);
}

#[test]
fn parse_wrong_unit() {
    check(
        "[profile.a]\ndeadline = \"20\"\n[profile.b]\ndeadline = 20\n[profile.c]\ndeadline = \"20h\"\n[profile.d]\ndeadline = \"0s\"",
        expect![[r#"
            fleet.toml:15: profile "a" has deadline "20"; add a unit: `"20s"` or `"20ms"`
            fleet.toml:17: profile "b" has deadline 20; add a unit, in quotes: `"20s"` or `"20ms"`
            fleet.toml:19: profile "c" has deadline "20h"; write a whole number and a unit: `"250ms"`, `"3s"` or `"2m"`
            fleet.toml:21: profile "d" has deadline "0s"; give a length of time above 0"#]],
    );
}

#[test]
fn parse_share_of_zero() {
    check(
        "[profile.a]\nshare = 0\n[workspace.b]\nshare = -1.5\n[workspace.c]\nshare = inf\n[workspace.d]\nshare = \"2\"",
        expect![[r#"
            fleet.toml:15: profile "a" has share 0; give a share above 0, or remove the profile
            fleet.toml:17: workspace "b" has share -1.5; give a share above 0, or remove the workspace
            fleet.toml:19: workspace "c" has share inf; give a share above 0, or remove the workspace
            fleet.toml:21: workspace "d" has share "2"; write a number without quotes, such as `2` or `0.5`"#]],
    );
}

#[test]
fn parse_duplicate_profile() {
    check(
        "[profile.renewal]\nshare = 1",
        expect!["fleet.toml:14: `[profile.renewal]` is given twice; keep one of the two, or give the other its own name"],
    );
}

#[test]
fn parse_duplicate_key() {
    check("[profile.a]\nshare = 1\nshare = 2", expect!["fleet.toml:16: `share` is given twice; keep one of the two, or give the other its own name"]);
}

#[test]
fn parse_out_of_range() {
    check(
        "[profile.a]\nurgency = 10\nidempotent = \"no\"\nweight = 0\nhint = nan\n[workspace.b]\nqueue = 0\n[service.c]\nkind = \"modle\"\nstart = 1.5\nqueue = 999999999",
        expect![[r#"
            fleet.toml:15: profile "a" has urgency 10; give a whole number from 0 to 9, without quotes
            fleet.toml:16: profile "a" has idempotent "no"; write `true` or `false`, without quotes
            fleet.toml:17: profile "a" has weight 0; give a number above 0
            fleet.toml:18: profile "a" has hint nan; give a number above 0
            fleet.toml:20: workspace "b" has queue 0; give a whole number from 1 to 100000, without quotes
            fleet.toml:22: service "c" has kind "modle"; give one of `"model"`, `"plain"`
            fleet.toml:23: service "c" has start 1.5; give a whole number from 1 to 10000, without quotes
            fleet.toml:24: service "c" has queue 999999999; give a whole number from 1 to 100000, without quotes"#]],
    );
}

#[test]
fn parse_plain_counts_tokens() {
    check(
        "[service.a]\nkind = \"plain\"\nunit = \"tokens\"",
        expect![[
            r#"fleet.toml:16: service "a" is plain and counts tokens, which only a model's answers have; write `unit = "requests"`, or `kind = "model"`"#
        ]],
    );
}

#[test]
fn parse_bad_name() {
    check(
        "[workspace.\"a b\"]\n[workspace.\"\"]",
        expect![[r#"
        fleet.toml:14: workspace "a b" can't be used; the name holds ` `; use letters, digits and `-_.:` only
        fleet.toml:15: workspace "" can't be used; the name is empty; give 1 to 64 letters, digits or any of `-_.:`"#]],
    );
}

#[test]
fn parse_not_table() {
    check(
        "[workspace]\nlondon = 3",
        expect![[
            r#"fleet.toml:15: workspace "london" is not a table; write a header in brackets and one `key = value` a line under it"#
        ]],
    );
}

#[test]
fn parse_mode() {
    check(
        "[policy]\nmode = \"fair\"",
        expect![[
            r#"fleet.toml:15: [policy] has mode "fair"; give one of `"fleet"`, `"alone"`, `"static"`"#
        ]],
    );
}

#[test]
fn parse_nothing_defined() {
    check_all(
        "[policy]\n",
        expect![[r#"
        fleet.toml:1: the document has no service; add `[service.NAME]` with `kind = "model"`
        fleet.toml:1: the document has no profile; add `[profile.NAME]`
        fleet.toml:1: the document has no workspace; add `[workspace.NAME]`"#]],
    );
}

#[test]
fn parse_not_toml() {
    check(
        "[profile.a\nshare = 0\n[workspace.b]\nshare = -1",
        expect![[r#"
            fleet.toml:14: this is not valid TOML: unclosed table, expected `]`; mend this line; text values need quotes, tables a header in brackets
            fleet.toml:17: workspace "b" has share -1; give a share above 0, or remove the workspace"#]],
    );
}

#[test]
fn render_two_problems() {
    let text = format!("{GOOD}[profile.a]\nshare = 0\nurgenci = 3\n");
    let error = Document::parse(&Source::from_text("fleet.toml", &text)).unwrap_err();
    expect![[r#"
        shown:
          × profile "a" has share 0
            ╭─[fleet.toml:15:9]
         14 │ [profile.a]
         15 │ share = 0
            ·         ─
         16 │ urgenci = 3
            ╰────
          help: give a share above 0, or remove the profile
          × profile "a" has the unknown key `urgenci`
            ╭─[fleet.toml:16:1]
         15 │ share = 0
         16 │ urgenci = 3
            · ───────
            ╰────
          help: did you mean `urgency`? known keys: `share`, `urgency`, `idempotent`, `weight`,
                `deadline`, `hint`
    "#]]
    .assert_eq(&format!("shown:\n{}", render(&error, false)));
}
