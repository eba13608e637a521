//! Handlers for messages and queries of other routers.

use {
    super::{
        messages::{
            Answer,
            PeerMessage,
            Question, //
        },
        state::{
            lock,
            Router, //
        },
    },
    futures_lite::future::Boxed,
    peers::{
        Handler,
        Incoming, //
    },
    policy::RouterId,
    std::sync::Arc, //
};

/// Returns the callbacks of the peers' server.
pub(crate) fn handler(router: &Arc<Router>) -> Handler<PeerMessage, Question, Answer> {
    let receiver = router.clone();
    let responder = router.clone();
    Handler {
        receive: Box::new(move |m| receive(&receiver, m)),
        answer: Box::new(move |from, q| answer(responder.clone(), from, q)),
    }
}

fn receive(router: &Arc<Router>, m: Incoming<PeerMessage>) {
    for item in m.items {
        match item {
            PeerMessage::Heartbeat(heartbeat) => {
                router.observe_peer_config(&m.from, heartbeat.config);
                router.observe_peer_list(&m.from, heartbeat.list);
                let now = router.now();
                lock(&router.members).receive_heartbeat(heartbeat, now);
                router.follow_members();
            }
            PeerMessage::Dispatch(msg) => {
                router.dispatch(|d, now| d.deliver(&m.from, m.incarnation, msg, now));
            }
            PeerMessage::Withdrawn(replica) => router.withdraw(&replica),
        }
    }
}

fn answer(router: Arc<Router>, from: RouterId, q: Question) -> Boxed<Answer> {
    Box::pin(async move {
        match q {
            Question::Hello(k) => {
                log::debug!("router: hello from {from}");
                router.add_routers(vec![k]);
                Answer::Hello(router.known_routers())
            }
            Question::Ticket(request) => {
                let now = router.now();
                Answer::Ticket(lock(&router.tickets).answer_transfer(&request, now))
            }
            Question::Config(have) => Answer::Config(router.config_delta_since(have).map(Box::new)),
            Question::List(have) => Answer::List(router.list_changes_since(have).map(Box::new)),
        }
    })
}
