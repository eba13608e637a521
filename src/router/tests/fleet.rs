use {
    super::test_fleet::until,
    crate::{
        conf::Settings,
        router::{
            start,
            RouterHandle, //
        },
    },
    kvstore::store::{
        self,
        Config,
        WriteId, //
    },
    policy::head::{
        Revision,
        Source, //
    },
    std::net::{
        SocketAddr,
        TcpListener, //
    },
};

fn start_router(name: &str, platform: SocketAddr, seeds: Vec<SocketAddr>) -> RouterHandle {
    let (name, zone) = (name.parse().unwrap(), "hall-a".parse().unwrap());
    let mut settings = Settings::loopback(name, zone, platform);
    settings.seeds = seeds;
    let listeners = settings.bind().unwrap();
    start(settings, listeners)
}

fn config(revision: u64, first: &str, last: &str) -> Config {
    let text = format!("# {first}\n{}\n# {last}\n", operators::FLEET);
    Config {
        revision: Revision(revision),
        writer: "ada".to_owned(),
        write: WriteId::random(),
        parts: store::split("fleet", &text),
    }
}

#[async_std::test]
async fn fetch_after_two_texts() {
    // Guards against a router that keeps an old configuration forever. A restored platform
    // assigned one revision to two texts, and the delta to the next revision starts from the
    // text that this router does not have.
    let unused = TcpListener::bind("127.0.0.1:0").unwrap();
    let platform = unused.local_addr().unwrap();
    drop(unused);
    let a = start_router("a", platform, Vec::new());
    let b = start_router("b", platform, vec![a.router.settings.peers.advertise]);
    a.router
        .apply_config(config(5, "one", ""), &Source::Platform);
    b.router
        .apply_config(config(5, "other", ""), &Source::Platform);
    until("two routers", || b.router.status().members.len() == 2).await;
    a.router
        .apply_config(config(6, "one", "next"), &Source::Platform);
    until("the next one", || b.router.status().revision == 6).await;
}
