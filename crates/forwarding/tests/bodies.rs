//! Long request bodies: when they move, and what moves beside them.

mod support;

use support::back_end::{ScriptedResponse, ok};
use support::caller::get;
use support::{World, host, pause};
use tokio::time::Instant;
use umberpond_forwarding::BackEnd;

/// Bytes a second of the slow links.
const SLOW_LINK: f64 = 1_250_000.0;
const CALLERS: u8 = 1;

fn upload_head(id: &str, length: usize) -> String {
    format!(
        "POST /write/a HTTP/1.1\r\nHost: x.example\r\numberpond-request: {id}\r\nContent-Length: {length}\r\n\r\n"
    )
}

/// Bytes of all values, so that no codec makes them shorter.
fn photo(length: usize) -> Vec<u8> {
    (0..length).map(|index| (index.wrapping_mul(2_654_435_761) >> 7) as u8).collect()
}

/// Lets the back end of the first node work on `slots` requests at once.
fn widen(world: &World, slots: u32) {
    let served = &world.served[0];
    served.inbound.open(BackEnd {
        life: umberpond_model::BackEndProcess::of(&served.endpoint.instance),
        release: None,
        service: "archive".parse().unwrap(),
        address: std::net::SocketAddr::new(host(10), support::BACK_END_PORT),
        slots,
    });
}

#[tokio::test(start_paused = true)]
async fn a_long_body_goes_elsewhere_after_a_refusal() {
    let world = World::with_routes(vec![vec![ok("a")], vec![ok("b")]]).await;
    world.served[0].inbound.close();
    let long = photo(360_000);
    for number in 0..6 {
        let mut caller = world.caller().await;
        caller.write(upload_head(&format!("r{number}"), long.len())).await;
        caller.write(&long).await;
        let answer = caller.read().await.unwrap();
        assert_eq!((answer.status, answer.text()), (200, "b"));
    }
    let seen = world.served[1].back_end.seen();
    assert_eq!(seen.len(), 6);
    assert!(seen.iter().all(|seen| seen.body == long));
}

#[tokio::test(start_paused = true)]
async fn the_body_of_a_refused_request_crosses_no_link() {
    let world = World::with_routes(vec![vec![ok("a")]]).await;
    world.served[0].inbound.close();
    for number in 0..6 {
        let mut caller = world.caller().await;
        caller.write(upload_head(&format!("r{number}"), 200_000)).await;
        caller.write(photo(200_000)).await;
        assert_eq!(caller.read().await.unwrap().status, 503);
    }
    let sent = world.network.bytes_sent(host(CALLERS), host(10));
    assert!(sent < 10_000, "{sent} bytes were sent for nothing");
}

#[tokio::test(start_paused = true)]
async fn a_refusal_of_a_long_body_ends_the_connection_after_the_whole_answer() {
    let world = World::with_routes(vec![vec![ok("a")]]).await;
    world.served[0].inbound.close();
    let mut caller = world.caller().await;
    caller.write(upload_head("r1", 200_000)).await;
    caller.write(vec![b'x'; 50_000]).await;
    let answer = caller.read().await.unwrap();
    assert_eq!((answer.status, answer.fields.contains("retry-after")), (503, true));
    assert_eq!(answer.fields.text("connection"), Some("close"), "the rest of the body is still due");
}

#[tokio::test(start_paused = true)]
async fn small_requests_pass_between_long_bodies_on_a_slow_link() {
    let world = World::with_link(vec![vec![ok("a")]], SLOW_LINK).await;
    widen(&world, 12);
    // So that it is known how fast the back end is.
    for number in 0..3 {
        assert_eq!(world.caller().await.ask("/write/a", &format!("w{number}")).await.status, 200);
    }
    world.network.limit_bandwidth(host(CALLERS), 1_250_000);
    let mut uploads = Vec::new();
    for number in 0..4 {
        let mut caller = world.caller().await;
        uploads.push(tokio::spawn(async move {
            caller.write(upload_head(&format!("u{number}"), 60_000)).await;
            caller.write(photo(60_000)).await;
            caller.read().await.unwrap().status
        }));
    }
    pause(60).await;
    let mut caller = world.caller().await;
    for number in 0..3 {
        let began = Instant::now();
        caller.write(get("/read/a", &format!("r{number}"))).await;
        assert_eq!(caller.read().await.unwrap().status, 200);
        let taken = began.elapsed().as_millis();
        assert!(taken <= 60, "a small request took {taken} ms");
    }
    for upload in uploads {
        assert_eq!(upload.await.unwrap(), 200);
    }
}

#[tokio::test(start_paused = true)]
async fn a_body_that_would_come_too_late_is_refused_before_it_moves() {
    let slow = ScriptedResponse::Answer { status: 200, body: "a", after: 50 };
    let world = World::with_link(vec![vec![slow]], SLOW_LINK).await;
    widen(&world, 64);
    world.network.limit_bandwidth(host(CALLERS), 1_250_000);
    let mut uploads = Vec::new();
    for number in 0..30 {
        let mut caller = world.caller().await;
        uploads.push(tokio::spawn(async move {
            let began = Instant::now();
            caller.write(upload_head(&format!("u{number}"), 60_000)).await;
            caller.write(photo(60_000)).await;
            (caller.read().await.unwrap().status, began.elapsed().as_millis())
        }));
    }
    let (mut served, mut refused) = (0, 0);
    for upload in uploads {
        match upload.await.unwrap() {
            (200, taken) => {
                served += 1;
                assert!(taken <= 500, "answered after {taken} ms, beyond the objective");
            }
            (status, taken) => {
                refused += 1;
                assert_eq!(status, 503);
                assert!(taken <= 60, "refused after {taken} ms");
            }
        }
    }
    // 500 ms of the link bear ten bodies.
    assert!((4..=10).contains(&served), "{served} were served, {refused} refused");
}

#[tokio::test(start_paused = true)]
async fn a_body_cut_by_the_caller_is_cut_at_the_back_end_and_nothing_follows_it() {
    let world = World::with_routes(vec![vec![ok("a")]]).await;
    let mut caller = world.caller().await;
    caller.write(upload_head("r1", 360_000)).await;
    caller.write(vec![b'x'; 100_000]).await;
    pause(50).await;
    drop(caller);
    pause(500).await;
    assert_eq!(world.arrivals(), 0, "the back end has read no whole request");
    assert_eq!(world.caller().await.ask("/read/a", "r2").await.status, 200);
    let seen = world.served[0].back_end.seen();
    assert_eq!((seen.len(), seen[0].connection), (1, 2), "the next request goes over another connection");
}

#[tokio::test(start_paused = true)]
async fn a_body_cut_by_the_node_beside_the_back_end_ends_as_unknown() {
    let world = World::with_routes(vec![vec![ok("a")]]).await;
    let mut caller = world.caller().await;
    caller.write(upload_head("r1", 360_000)).await;
    caller.write(vec![b'x'; 100_000]).await;
    pause(50).await;
    world.network.kill(host(10));
    let answer = caller.read().await.unwrap();
    assert_eq!(answer.status, 502, "its head has reached the back end");
}

#[tokio::test(start_paused = true)]
async fn a_long_chunked_body_arrives_whole() {
    let world = World::with_routes(vec![vec![ok("a")]]).await;
    let mut caller = world.caller().await;
    let head = "POST /write/a HTTP/1.1\r\nHost: x.example\r\numberpond-request: r1\r\n";
    caller.write(format!("{head}Transfer-Encoding: chunked\r\n\r\n")).await;
    for _ in 0..90 {
        caller.write(format!("fa0\r\n{}\r\n", "y".repeat(4000))).await;
    }
    caller.write("0\r\n\r\n").await;
    assert_eq!(caller.read().await.unwrap().status, 200);
    assert_eq!(world.served[0].back_end.seen()[0].body, vec![b'y'; 360_000]);
}

#[tokio::test(start_paused = true)]
async fn an_answer_to_an_earlier_request_does_not_spoil_that_of_a_long_body() {
    let first = ScriptedResponse::Slowly {
        first: "HTTP/1.1 200 OK\r\numberpond-request: {id}\r\nx-proof: p\r\nContent-Length: 3\r\n\r\none",
        second: "HTTP/1.1 200 OK\r\numberpond-request: r1\r\nx-proof: p\r\nContent-Length: 4\r\n\r\nlate",
        after: 30,
    };
    let world = World::with_routes(vec![vec![first, ok("own")]]).await;
    assert_eq!(world.caller().await.ask("/read/a", "r1").await.text(), "one");
    let mut caller = world.caller().await;
    caller.write(upload_head("r2", 200_000)).await;
    pause(10).await;
    caller.write(photo(200_000)).await;
    let answer = caller.read().await.unwrap();
    assert_eq!((answer.status, answer.text()), (200, "own"));
}

/// Moves the first node to another zone than that of the callers.
fn move_away(world: &mut World) {
    world.served[0].endpoint.locality.zone = "b".parse().unwrap();
    world.publish_endpoints();
}

/// Bytes between zones are dear, and in overload most of what is sent there is refused.
#[tokio::test(start_paused = true)]
async fn a_body_of_some_kilobytes_crosses_to_another_zone_only_with_a_slot() {
    let mut world = World::with_routes(vec![vec![ok("a")]]).await;
    move_away(&mut world);
    let body = photo(6_000);
    let mut caller = world.caller().await;
    caller.write(upload_head("r1", body.len())).await;
    caller.write(&body).await;
    assert_eq!(caller.read().await.unwrap().status, 200);
    assert_eq!(world.served[0].back_end.seen()[0].body, body);
    let before = world.network.bytes_sent(host(CALLERS), host(10));
    world.served[0].inbound.close();
    for number in 0..4 {
        let mut caller = world.caller().await;
        caller.write(upload_head(&format!("refused{number}"), body.len())).await;
        caller.write(&body).await;
        assert_eq!(caller.read().await.unwrap().status, 503);
    }
    let sent = world.network.bytes_sent(host(CALLERS), host(10)) - before;
    assert!(sent < 3_000, "{sent} bytes were sent for nothing");
}

/// Its body can be sent again, unlike that of a caller that is still sending.
#[tokio::test(start_paused = true)]
async fn a_request_refused_in_another_zone_is_served_elsewhere_with_its_whole_body() {
    let mut world = World::with_routes(vec![vec![ok("a")], vec![ok("b")]]).await;
    move_away(&mut world);
    world.served[0].inbound.close();
    let body = photo(6_000);
    for number in 0..6 {
        let mut caller = world.caller().await;
        caller.write(upload_head(&format!("r{number}"), body.len())).await;
        caller.write(&body).await;
        assert_eq!(caller.read().await.unwrap().text(), "b");
    }
    assert!(world.served[1].back_end.seen().iter().all(|seen| seen.body == body));
}
