//! Pages of a store that doesn't go on after the key that it is given.

use {
    super::{
        http::{
            answer,
            serve,
            Conn,
            Message, //
        },
        replicas::{
            entry,
            id, //
        },
    },
    adapter::testing::{
        encode_value,
        range_answer,
        replica_key,
        StoreCall,
        StoredItem, //
    },
    async_std::task::block_on,
    gateway::{
        ReplicaList,
        StoreError, //
    },
    serde_json::Value,
    std::{
        net::{
            SocketAddr,
            TcpListener, //
        },
        ops::Range,
        sync::{
            atomic::{
                AtomicUsize,
                Ordering, //
            },
            Arc, //
        },
    },
};

fn item(key: String) -> StoredItem {
    StoredItem {
        key,
        value: encode_value(&entry(SocketAddr::from(([10, 0, 0, 9], 8080)))),
        revision: 1,
        lease: 0,
    }
}

fn page(replicas: Range<usize>, more: bool) -> Value {
    let items: Vec<StoredItem> = replicas.map(|n| item(replica_key(&id(n)))).collect();
    range_answer(&items, more, 5)
}

/// Lists replicas from a store that answers the calls in order with these pages, the number of the
/// call and the key after which a page begins. Returns the number of calls as well.
fn list(
    answers: impl Fn(usize, &str) -> Value + Send + Sync + 'static,
) -> (Result<ReplicaList, StoreError>, usize) {
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = calls.clone();
    let handler = move |req: &Message, conn: &mut Conn| {
        let StoreCall::Range { after, .. } = StoreCall::parse(&req.target, &req.body) else {
            panic!("{} is no call for a list", req.target);
        };
        let page = answers(counted.fetch_add(1, Ordering::SeqCst), &after);
        conn.send(&answer(200, &[], &page.to_string()))
    };
    let server = serve(TcpListener::bind("127.0.0.1:0").unwrap(), Arc::new(handler));
    let client = adapter::store(server.addr);
    let listed = block_on((client.list_replicas)());
    (listed, calls.load(Ordering::SeqCst))
}

/// Guards against a reader that asks for the same page without end.
#[test]
fn list_page_again() {
    let (listed, calls) = list(|_, _| page(0..3, true));
    assert_eq!(listed.unwrap_err(), StoreError::Stuck(3));
    assert_eq!(calls, 2);
}

/// Guards against a part of a list that is taken for all of it, so that the rest counts as gone.
#[test]
fn list_empty_page_before_the_end() {
    let (listed, calls) = list(|call, _| match call {
        0 => page(0..3, true),
        _ => page(3..3, true),
    });
    assert_eq!(listed.unwrap_err(), StoreError::Stuck(3));
    assert_eq!(calls, 2);
}

/// Guards against replicas that are listed twice, and against a list that fails without need.
#[test]
fn list_pages_that_overlap() {
    let (listed, calls) = list(|call, _| match call {
        0 => page(0..3, true),
        1 => page(1..5, true),
        _ => page(4..6, false),
    });
    let ids: Vec<String> = listed
        .unwrap()
        .replicas
        .iter()
        .map(|r| r.id.to_string())
        .collect();
    assert_eq!(ids, (0..6).map(id).collect::<Vec<_>>());
    assert_eq!(calls, 3);
}

/// Guards against a list without end, which takes all memory.
#[test]
fn list_without_end() {
    const PAGE_KEYS: usize = 5_000;
    let (listed, calls) = list(|call, _| {
        let keys = (0..PAGE_KEYS).map(|n| format!("{}x", replica_key(&format!("{call}-{n}"))));
        let items: Vec<StoredItem> = keys
            .map(|key| StoredItem {
                key,
                value: String::new(),
                revision: 1,
                lease: 0,
            })
            .collect();
        range_answer(&items, true, 5)
    });
    assert!(matches!(listed, Err(StoreError::Endless(_))));
    assert!(calls <= 30, "{calls} calls");
}
