use {
    super::{
        plan::{
            even,
            uneven, //
        },
        process::free_ports,
        setup::Setup, //
    },
    crate::conf::Settings,
    operators::{
        Document,
        Source, //
    },
    std::collections::BTreeSet,
};

const MODES: [&str; 3] = ["fleet", "alone", "static"];

#[test]
fn document_every_mode() {
    for mode in MODES {
        for unit in ["tokens", "requests"] {
            let mut setup = Setup::new(mode, uneven(8));
            setup.unit = unit.to_owned();
            let source = Source::from_text("measure", &setup.document());
            let document = Document::parse(&source).unwrap();
            assert_eq!(document.workspaces.len(), 16);
        }
    }
}

#[test]
fn settings_every_router() {
    let setup = Setup::new("fleet", uneven(8));
    let ports = free_ports(8).unwrap();
    let mut names = BTreeSet::new();
    for (i, p) in ports.iter().enumerate() {
        let text = setup.settings(i, *p, p.operators);
        let settings = Settings::parse(&Source::from_text("measure", &text)).unwrap();
        assert_eq!(settings.callers.advertise, p.callers);
        names.insert(settings.name.to_string());
    }
    assert_eq!(names.len(), 8);
}

#[test]
fn uneven_few_routers() {
    for routers in 1..=8 {
        for plan in uneven(routers) {
            assert!(plan.homes.iter().all(|h| *h < routers), "{plan:?}");
            assert!((1..=3).contains(&plan.homes.len()), "{plan:?}");
        }
    }
}

#[test]
fn even_few_routers() {
    for routers in [1, 2, 16] {
        let plans = even(48, 5, routers);
        assert!(plans.iter().flat_map(|p| &p.homes).all(|h| *h < routers));
    }
}
