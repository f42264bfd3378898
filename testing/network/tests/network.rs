//! Simulated streams and datagrams: order, delay, flow control, cut, freeze, loss, reset and kill.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, timeout};
use umberpond_model::Millis;
use umberpond_net::{BoxStream, Network};
use umberpond_virtual_network::SimNetwork;

const SERVER: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));
const CLIENT: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 2));
const DELAY: Duration = Duration::from_millis(5);

fn network() -> SimNetwork {
    SimNetwork::new(1, |_, _| Millis(5))
}

async fn connected(network: &SimNetwork) -> (BoxStream, BoxStream) {
    let mut listener = network.host(SERVER).listen(SocketAddr::new(SERVER, 80)).await.unwrap();
    let client = network.host(CLIENT).connect(listener.local_addr()).await.unwrap();
    let (server, peer) = listener.accept().await.unwrap();
    assert_eq!(peer.ip(), CLIENT);
    (client, server)
}

#[tokio::test(start_paused = true)]
async fn a_stream_delivers_bytes_in_order_after_the_delay_and_then_ends() {
    let network = network();
    let (mut client, mut server) = connected(&network).await;
    let sent_at = Instant::now();
    client.write_all(b"first ").await.unwrap();
    client.write_all(b"second").await.unwrap();
    client.shutdown().await.unwrap();
    let mut received = String::new();
    server.read_to_string(&mut received).await.unwrap();
    assert_eq!(received, "first second");
    assert!(sent_at.elapsed() >= DELAY && sent_at.elapsed() < 2 * DELAY);
    assert_eq!(network.bytes_sent(CLIENT, SERVER), 12);
}

#[tokio::test(start_paused = true)]
async fn a_cut_link_holds_bytes_and_delivers_them_when_restored() {
    let network = network();
    let (mut client, mut server) = connected(&network).await;
    network.cut(CLIENT, SERVER);
    client.write_all(b"late").await.unwrap();
    let mut buffer = [0; 4];
    assert!(timeout(Duration::from_secs(60), server.read_exact(&mut buffer)).await.is_err());
    network.mend(CLIENT, SERVER);
    server.read_exact(&mut buffer).await.unwrap();
    assert_eq!(&buffer, b"late");
}

#[tokio::test(start_paused = true)]
async fn a_frozen_host_neither_sends_nor_receives() {
    let network = network();
    let (mut client, mut server) = connected(&network).await;
    network.freeze(SERVER);
    client.write_all(b"to").await.unwrap();
    server.write_all(b"fro").await.unwrap();
    let mut buffer = [0; 3];
    assert!(timeout(Duration::from_secs(60), client.read_exact(&mut buffer)).await.is_err());
    network.thaw(SERVER);
    client.read_exact(&mut buffer).await.unwrap();
    assert_eq!(&buffer, b"fro");
}

#[tokio::test(start_paused = true)]
async fn a_kill_resets_streams_refuses_new_ones_and_disconnects_the_old_process() {
    let network = network();
    let old_process = network.host(SERVER);
    let (mut client, _server) = connected(&network).await;
    network.kill(SERVER);
    assert!(client.read_u8().await.is_err());
    let address = SocketAddr::new(SERVER, 80);
    assert!(network.host(CLIENT).connect(address).await.is_err());
    let _listener = network.host(SERVER).listen(address).await.unwrap();
    assert!(network.host(CLIENT).connect(address).await.is_ok());
    assert!(old_process.connect(SocketAddr::new(CLIENT, 1)).await.is_err());
    assert!(old_process.listen(SocketAddr::new(SERVER, 81)).await.is_err());
}

#[tokio::test(start_paused = true)]
async fn a_full_pipe_makes_the_writer_wait() {
    let network = network();
    let (mut client, mut server) = connected(&network).await;
    let payload = vec![7; 1024 * 1024];
    assert!(timeout(Duration::from_secs(60), client.write_all(&payload)).await.is_err());
    let writer = tokio::spawn(async move { client.write_all(b"end").await });
    let mut received = Vec::new();
    while !received.ends_with(b"end") {
        server.read_buf(&mut received).await.unwrap();
    }
    writer.await.unwrap().unwrap();
}

#[tokio::test(start_paused = true)]
async fn datagrams_are_delayed_and_lost_while_the_link_is_cut_or_lossy() {
    let network = SimNetwork::new(7, |_, _| Millis(3));
    let (one, other): (IpAddr, IpAddr) = ([10, 0, 0, 1].into(), [10, 0, 0, 2].into());
    let (sender_host, receiver_host) = (network.host(one), network.host(other));
    let sender = sender_host.datagrams(SocketAddr::new(one, 7)).await.unwrap();
    let receiver = receiver_host.datagrams(SocketAddr::new(other, 7)).await.unwrap();
    let sent_at = tokio::time::Instant::now();
    sender.send(b"a", receiver.local_addr());
    let mut buffer = [0; 16];
    let (length, from) = receiver.receive(&mut buffer).await.unwrap();
    assert_eq!((&buffer[..length], from), (&b"a"[..], sender.local_addr()));
    assert!(sent_at.elapsed() >= Duration::from_millis(3));
    network.cut_one_way(one, other);
    sender.send(b"b", receiver.local_addr());
    network.mend(one, other);
    network.set_datagram_loss(one, other, 1.0);
    sender.send(b"c", receiver.local_addr());
    network.set_datagram_loss(one, other, 0.0);
    sender.send(b"d", receiver.local_addr());
    let (length, _) = receiver.receive(&mut buffer).await.unwrap();
    assert_eq!(&buffer[..length], b"d");
}

#[tokio::test(start_paused = true)]
async fn a_reset_breaks_open_streams_and_allows_new_ones() {
    let network = SimNetwork::new(8, |_, _| Millis(1));
    let (one, other): (IpAddr, IpAddr) = ([10, 0, 0, 1].into(), [10, 0, 0, 2].into());
    let (sender_host, receiver_host) = (network.host(one), network.host(other));
    let at = SocketAddr::new(other, 7);
    let mut listener = receiver_host.listen(at).await.unwrap();
    let mut stream = sender_host.connect(at).await.unwrap();
    let (_accepted, _) = listener.accept().await.unwrap();
    network.reset(other);
    assert!(stream.write_all(b"x").await.is_err());
    let mut again = sender_host.connect(at).await.unwrap();
    let (mut accepted, _) = listener.accept().await.unwrap();
    again.write_all(b"y").await.unwrap();
    let mut byte = [0];
    accepted.read_exact(&mut byte).await.unwrap();
    assert_eq!(&byte, b"y");
}
