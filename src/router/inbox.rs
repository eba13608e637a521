//! What comes from other routers.

use {
    super::{
        messages::{
            Answer,
            Item,
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

/// Makes what the peers' server calls.
pub(crate) fn handler(router: &Arc<Router>) -> Handler<Item, Question, Answer> {
    let taker = router.clone();
    let answerer = router.clone();
    Handler {
        receive: Box::new(move |m| take(&taker, m)),
        answer: Box::new(move |from, q| answer(answerer.clone(), from, q)),
    }
}

fn take(router: &Arc<Router>, m: Incoming<Item>) {
    for item in m.items {
        match item {
            Item::Beat(beat) => {
                router.config_head(&m.from, beat.config);
                router.list_head(&m.from, beat.list);
                let now = router.now();
                lock(&router.members).receive_heartbeat(beat, now);
                router.follow_members();
            }
            Item::Share(msg) => {
                router.dispatch(|d, now| d.deliver(&m.from, m.incarnation, msg, now));
            }
            Item::Withdrawn(replica) => router.withdraw(&replica),
        }
    }
}

fn answer(router: Arc<Router>, from: RouterId, q: Question) -> Boxed<Answer> {
    Box::pin(async move {
        match q {
            Question::Hello(k) => {
                log::debug!("router: {from} greets");
                router.meet(vec![k]);
                Answer::Hello(router.known())
            }
            Question::Ticket(ask) => {
                let now = router.now();
                Answer::Ticket(lock(&router.tickets).answer_transfer(&ask, now))
            }
            Question::Config(have) => Answer::Config(router.config_above(have).map(Box::new)),
            Question::List(have) => Answer::List(router.list_beyond(have).map(Box::new)),
        }
    })
}
