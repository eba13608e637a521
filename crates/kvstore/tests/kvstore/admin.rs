//! The stand-in's admin paths, as a test of whole processes uses them.

use {
    crate::common::{
        client,
        platform,
        run, //
    },
    async_std::net::TcpStream,
    http_types::{
        Method,
        Request,
        StatusCode,
        Url, //
    },
    kvstore::KeyRevision,
    standins::platform::{
        CallCount,
        Handle,
        Instance,
        Role, //
    },
};

async fn admin(platform: &Handle, method: Method, path: &str, body: &str) -> (StatusCode, String) {
    let url = Url::parse(&format!("http://{}/admin/{path}", platform.admin)).unwrap();
    let mut req = Request::new(method, url);
    req.set_body(body);
    let stream = TcpStream::connect(platform.admin).await.unwrap();
    let mut res = async_h1::connect(stream, req).await.unwrap();
    (res.status(), res.body_string().await.unwrap())
}

async fn order(platform: &Handle, path: &str) -> StatusCode {
    admin(platform, Method::Post, path, "").await.0
}

#[test]
fn admin_down_and_up() {
    run(async {
        let platform = platform().await;
        for mode in ["refuse", "error"] {
            let kv = client(&platform, "a");
            let path = format!("down?mode={mode}");
            assert_eq!(order(&platform, &path).await, StatusCode::Ok);
            assert!(kv.get("x").await.is_err());
            assert_eq!(order(&platform, "up").await, StatusCode::Ok);
            assert_eq!(client(&platform, "b").get("x").await, Ok(None));
        }
        assert_eq!(order(&platform, "sideways").await, StatusCode::NotFound);
    });
}

#[test]
fn admin_snapshot_and_restore() {
    run(async {
        let platform = platform().await;
        let kv = client(&platform, "a");
        assert_eq!(order(&platform, "restore").await, StatusCode::NotFound);
        order(&platform, "snapshot").await;
        kv.put("x", "1".into(), KeyRevision::NONE, None)
            .await
            .unwrap();
        assert_eq!(order(&platform, "restore").await, StatusCode::Ok);
        assert_eq!(kv.get("x").await, Ok(None));
        order(&platform, "lose?n=1").await;
        let lost = kv.put("x", "1".into(), KeyRevision::NONE, None).await;
        assert!(lost.unwrap_err().may_have_run());
    });
}

#[test]
fn admin_counts() {
    run(async {
        let platform = platform().await;
        client(&platform, "a").get("x").await.unwrap();
        let (_, body) = admin(&platform, Method::Get, "counts", "").await;
        let counts: Vec<CallCount> = serde_json::from_str(&body).unwrap();
        let expected = CallCount {
            client: "a".to_owned(),
            kind: "get".to_owned(),
            calls: 1,
        };
        assert_eq!(counts, [expected]);
        admin(&platform, Method::Delete, "counts", "").await;
        assert_eq!(platform.counts(), []);
    });
}

#[test]
fn admin_instances() {
    run(async {
        let platform = platform().await;
        let instance = Instance {
            name: "e1".to_owned(),
            role: Role::Endpoint,
            service: Some("drafting-llm".to_owned()),
            addr: ([127, 0, 0, 1], 9000).into(),
            callers: None,
            zone: "hall-a".to_owned(),
            state: Default::default(),
        };
        let body = serde_json::to_string(&[instance]).unwrap();
        let (status, _) = admin(&platform, Method::Post, "instances", &body).await;
        assert_eq!(status, StatusCode::Ok);
        let (status, _) = admin(&platform, Method::Put, "instances/e1?state=leaving", "").await;
        assert_eq!(status, StatusCode::Ok);
        let (status, _) = admin(&platform, Method::Delete, "instances/e1", "").await;
        assert_eq!(status, StatusCode::Ok);
        let (status, _) = admin(&platform, Method::Delete, "instances/e1", "").await;
        assert_eq!(status, StatusCode::NotFound);
        let (status, _) = admin(&platform, Method::Post, "instances", "[{}]").await;
        assert!(status.is_client_error(), "{status}");
    });
}
