//! Planned stops cut nothing; a kill says what it cut.

mod support;

use std::time::Duration;

use support::mesh::{backend_at, inbound_at, record, settle};
use support::{Answer, MemoryNetwork, MeshBuilder, Peer, Step, get, post};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use umberpond_model::EndpointStatus;

/// An answer in ten parts over two seconds.
fn slow_answer() -> Step {
    let mut parts = vec![b"HTTP/1.1 200 X\r\ncontent-length: 9\r\n\r\n".to_vec()];
    parts.extend((0..9).map(|number| vec![b'0' + number]));
    Step::Stream { pause: Duration::from_millis(200), parts, closes: false }
}

#[tokio::test(start_paused = true)]
async fn a_draining_inbound_half_finishes_what_runs_and_rejects_what_is_new() {
    let network = MemoryNetwork::new();
    let backend =
        Peer::start(&network, backend_at(0), vec![slow_answer(), Step::ok("upload"), Step::ok("x")]);
    let mesh = MeshBuilder::default().build(&network).await;
    let entry = mesh.entry();
    let download = {
        let network = network.clone();
        tokio::spawn(async move { get(&network, entry, "/read/stream", "").await })
    };
    settle().await;
    let upload = {
        let network = network.clone();
        tokio::spawn(async move {
            let mut stream = network.dial(entry).unwrap();
            let head = b"POST /buy/long HTTP/1.1\r\nhost: archive\r\nconnection: close\r\ncontent-length: 20\r\n\r\n";
            stream.write_all(head).await.unwrap();
            for _ in 0..20 {
                stream.write_all(b"u").await.unwrap();
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            Answer::parse(&support::caller::read_all(&mut stream).await).unwrap()
        })
    };
    tokio::time::sleep(Duration::from_millis(500)).await;
    mesh.inbound[0].state.set_own_record(&record(0, EndpointStatus::Draining, 2));
    mesh.inbound[0].drain.drain();

    let refused = post(&network, entry, "/buy/new", "", b"1").await;
    assert_eq!((refused.status, refused.outcome()), (503, "rejected"));
    let next = post(&network, entry, "/buy/new", "", b"1").await;
    assert_eq!(next.header("umberpond-reason"), Some("no-endpoint"), "the refusal taught the caller's node");

    let (download, upload) = (download.await.unwrap(), upload.await.unwrap());
    assert_eq!((download.text(), download.whole), ("012345678", true));
    assert_eq!((upload.status, upload.text()), (200, "upload"));
    let report = mesh.inbound.into_iter().next().unwrap().serving.await.unwrap();
    assert_eq!((report.finished, report.cut), (2, 0), "{report:?}");
    assert_eq!(backend.ran().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_draining_outbound_half_refuses_on_kept_connections_and_finishes_what_runs() {
    let network = MemoryNetwork::new();
    Peer::start(&network, backend_at(0), vec![Step::ok("first"), slow_answer()]);
    let mesh = MeshBuilder::default().build(&network).await;
    let mut kept = network.dial(mesh.entry()).unwrap();
    let request = b"GET /read HTTP/1.1\r\nhost: archive\r\n\r\n";
    kept.write_all(request).await.unwrap();
    let mut buffer = vec![0; 4096];
    let count = kept.read(&mut buffer).await.unwrap();
    assert_eq!(Answer::parse(&buffer[..count]).unwrap().status, 200);
    let entry = mesh.entry();
    let running = {
        let network = network.clone();
        tokio::spawn(async move { get(&network, entry, "/read/stream", "").await })
    };
    tokio::time::sleep(Duration::from_millis(300)).await;

    mesh.outbound.drain.drain();
    settle().await;
    kept.write_all(request).await.unwrap();
    let refused = Answer::parse(&support::caller::read_all(&mut kept).await).unwrap();

    assert_eq!((refused.status, refused.outcome()), (503, "rejected"));
    assert_eq!(refused.header("connection"), Some("close"));
    assert_eq!(running.await.unwrap().text(), "012345678");
    let report = mesh.outbound.serving.await.unwrap();
    assert_eq!((report.finished, report.refused, report.cut), (1, 1, 0));
}

#[tokio::test(start_paused = true)]
async fn a_kill_cuts_visibly_and_counts_what_it_cut() {
    let network = MemoryNetwork::new();
    Peer::start(&network, backend_at(0), vec![slow_answer()]);
    let mesh = MeshBuilder::default().build(&network).await;
    let entry = mesh.entry();
    let running = {
        let network = network.clone();
        tokio::spawn(async move { get(&network, entry, "/read/stream", "").await })
    };
    tokio::time::sleep(Duration::from_millis(700)).await;
    mesh.outbound.drain.drain();
    mesh.outbound.drain.kill();
    let report = mesh.outbound.serving.await.unwrap();
    assert_eq!(report.cut, 1);
    let answer = running.await.unwrap();
    assert!(answer.status == 200 && !answer.whole);
    assert_eq!(mesh.events.count("Killed"), 1, "{:?}", mesh.events.all());
}

#[tokio::test(start_paused = true)]
async fn an_endpoint_that_no_longer_takes_work_loses_its_idle_connections_from_the_callers_side() {
    let network = MemoryNetwork::new();
    let backend = Peer::start(&network, backend_at(0), vec![Step::ok("x")]);
    let mesh = MeshBuilder::default().build(&network).await;
    assert_eq!(get(&network, mesh.entry(), "/read", "").await.status, 200);
    settle().await;
    mesh.outbound.state.set_endpoints(vec![record(0, EndpointStatus::Draining, 2)]);
    let refused = get(&network, mesh.entry(), "/read", "").await;
    assert_eq!(refused.header("umberpond-reason"), Some("no-endpoint"));
    mesh.outbound.state.set_endpoints(vec![record(0, EndpointStatus::Ready, 3)]);
    assert_eq!(get(&network, mesh.entry(), "/read", "").await.status, 200);
    assert_eq!(network.connections_to(inbound_at(0)), 2);
    assert_eq!(backend.connections(), 1);
}
