use {
    super::stage::until,
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

fn alone(name: &str, platform: SocketAddr, seeds: Vec<SocketAddr>) -> RouterHandle {
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
    // One router keeps an old configuration for good. A restored platform had given two
    // texts the same revision; the change to the next one was sent as what differs from
    // the one text, and this router had the other.
    let nobody = TcpListener::bind("127.0.0.1:0").unwrap();
    let platform = nobody.local_addr().unwrap();
    drop(nobody);
    let a = alone("a", platform, Vec::new());
    let b = alone("b", platform, vec![a.router.settings.peers.advertise]);
    a.router
        .take_config(config(5, "one", ""), &Source::Platform);
    b.router
        .take_config(config(5, "other", ""), &Source::Platform);
    until("two routers", || b.router.status().members.len() == 2).await;
    a.router
        .take_config(config(6, "one", "next"), &Source::Platform);
    until("the next one", || b.router.status().revision == 6).await;
}
