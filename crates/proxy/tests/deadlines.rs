//! Deadlines, cancellation and slots.

mod support;

use std::time::Duration;

use support::mesh::backend_at;
use support::{MemoryNetwork, MeshBuilder, Peer, Step, get, post};
use tokio::time::Instant;

const HEAD: &[u8] = b"HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n";

#[tokio::test(start_paused = true)]
async fn a_request_is_given_up_at_its_deadline_and_cancelled_at_the_back_end() {
    let network = MemoryNetwork::new();
    let backend = Peer::start(&network, backend_at(0), vec![Step::ok_after(Duration::from_secs(60), "x")]);
    let mesh = MeshBuilder::default().build(&network).await;
    let began = Instant::now();

    let answer = get(&network, mesh.entry(), "/read", "umberpond-deadline: 150\r\n").await;

    assert!((150..160).contains(&began.elapsed().as_millis()), "{:?}", began.elapsed());
    assert_eq!((answer.status, answer.outcome()), (504, "unknown"));
    assert!(answer.header("retry-after").is_some());
    support::mesh::settle().await;
    assert_eq!(backend.cancelled(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_request_that_never_left_the_queue_is_told_to_be_rejected() {
    let network = MemoryNetwork::new();
    let backend = Peer::start(&network, backend_at(0), vec![Step::ok_after(Duration::from_millis(900), "x")]);
    let mesh = MeshBuilder { slots: 1, ..MeshBuilder::default() }.build(&network).await;
    let entry = mesh.entry();
    let held = {
        let network = network.clone();
        tokio::spawn(async move { post(&network, entry, "/buy/a", "", b"1").await })
    };
    tokio::time::sleep(Duration::from_millis(10)).await;

    let queued = post(&network, entry, "/buy/b", "umberpond-deadline: 50\r\n", b"2").await;

    assert_eq!((queued.status, queued.outcome()), (504, "rejected"));
    assert_eq!(held.await.unwrap().status, 200);
    assert_eq!(backend.ran().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn overload_is_refused_at_once_as_rejected() {
    let network = MemoryNetwork::new();
    let backend = Peer::start(&network, backend_at(0), vec![Step::ok_after(Duration::from_millis(400), "x")]);
    let mut builder = MeshBuilder { slots: 1, ..MeshBuilder::default() };
    builder.settings.admission.queue = 1;
    let mesh = builder.build(&network).await;
    let entry = mesh.entry();
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..4 {
        let network = network.clone();
        calls.spawn(async move {
            let began = Instant::now();
            (post(&network, entry, "/buy/a", "", b"1").await, began.elapsed())
        });
    }
    let answers = calls.join_all().await;

    let shed: Vec<_> = answers.iter().filter(|(answer, _)| answer.status == 429).collect();
    assert_eq!(shed.len(), 2, "{answers:?}");
    for (answer, elapsed) in shed {
        assert_eq!(answer.outcome(), "rejected");
        assert!(answer.header("retry-after").is_some());
        assert!(*elapsed < Duration::from_millis(50), "refused at once, not after {elapsed:?}");
    }
    assert_eq!(backend.ran().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn an_answer_that_streams_past_the_deadline_is_cut_visibly() {
    let network = MemoryNetwork::new();
    let parts = vec![HEAD.to_vec(), b"3\r\nabc\r\n".to_vec(), b"0\r\n\r\n".to_vec()];
    let stream = Step::Stream { pause: Duration::from_millis(100), parts, closes: false };
    Peer::start(&network, backend_at(0), vec![stream]);
    let mesh = MeshBuilder::default().build(&network).await;

    let whole = get(&network, mesh.entry(), "/read", "").await;
    assert_eq!((whole.text(), whole.whole), ("abc", true));
    let cut = get(&network, mesh.entry(), "/read", "umberpond-deadline: 250\r\n").await;
    assert_eq!((cut.status, cut.text(), cut.whole), (200, "abc", false));
    assert!(mesh.events.count("Cut") > 0);
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_leaves_cancels_its_request() {
    let network = MemoryNetwork::new();
    let backend = Peer::start(&network, backend_at(0), vec![Step::ok_after(Duration::from_secs(60), "x")]);
    let mesh = MeshBuilder::default().build(&network).await;

    let leaving = post(&network, mesh.entry(), "/buy/a", "", b"1");
    assert!(tokio::time::timeout(Duration::from_millis(20), leaving).await.is_err());
    support::mesh::settle().await;

    assert_eq!(backend.cancelled(), 1);
    assert_eq!(mesh.events.count("CallerGone"), 2, "{:?}", mesh.events.all());
    assert_eq!(mesh.inbound[0].state.gate_view().unwrap().running, 0, "the slot is free again");
}

#[tokio::test(start_paused = true)]
async fn the_callers_own_key_is_honoured() {
    let network = MemoryNetwork::new();
    let backend = Peer::start(&network, backend_at(0), vec![Step::ok("bought")]);
    let mesh = MeshBuilder { servers: 1, ..MeshBuilder::default() }.build(&network).await;
    let key = "idempotency-key: order-7\r\n";
    assert_eq!(post(&network, mesh.entry(), "/buy/a", key, b"1").await.text(), "bought");
    let again = post(&network, mesh.entry(), "/buy/a", key, b"1").await;
    assert_eq!((again.status, again.outcome()), (409, "unknown"));
    assert_eq!(
        post(&network, mesh.entry(), "/buy/b", key, b"1").await.status,
        200,
        "another path, another key"
    );
    assert_eq!(backend.ran().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_connection_is_idle_only_when_nothing_streams_on_it() {
    let network = MemoryNetwork::new();
    let mut parts = vec![HEAD.to_vec()];
    parts.extend((0..6).map(|_| b"1\r\nx\r\n".to_vec()));
    parts.push(b"0\r\n\r\n".to_vec());
    Peer::start(
        &network,
        backend_at(0),
        vec![Step::Stream { pause: Duration::from_millis(400), parts, closes: false }],
    );
    let mut builder = MeshBuilder::default();
    builder.settings.caller_idle_timeout = Duration::from_secs(1);
    let mesh = builder.build(&network).await;
    let mut stream = network.dial(mesh.entry()).unwrap();
    let began = Instant::now();

    tokio::io::AsyncWriteExt::write_all(&mut stream, b"GET /read HTTP/1.1\r\nhost: archive\r\n\r\n")
        .await
        .unwrap();
    let raw = support::caller::read_all(&mut stream).await;

    let answer = support::Answer::parse(&raw).unwrap();
    assert_eq!((answer.text(), answer.whole), ("xxxxxx", true));
    let elapsed = began.elapsed();
    assert!((4_200..4_300).contains(&elapsed.as_millis()), "one second after the answer's end: {elapsed:?}");
}
