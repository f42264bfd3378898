//! An in-memory transport and short helpers for the stand-ins' tests, which run on a paused clock.

#![allow(dead_code, reason = "each test file uses its own part of the helpers")]

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::Full;
use parking_lot::Mutex;
use tokio::sync::mpsc;
use umberpond_net::{
    BoxListener, BoxStream, HttpClientError, HttpExchange, Listener, Network, collect_body, send_request,
};

const PIPE_BYTES: usize = 64 * 1024;
const BODY_LIMIT: usize = 1024 * 1024;

pub const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

type Arrival = (BoxStream, SocketAddr);

#[derive(Default)]
pub struct MemoryNetwork {
    listeners: Mutex<BTreeMap<SocketAddr, mpsc::UnboundedSender<Arrival>>>,
}

struct MemoryListener {
    address: SocketAddr,
    arrivals: mpsc::UnboundedReceiver<Arrival>,
}

#[async_trait]
impl Listener for MemoryListener {
    fn local_addr(&self) -> SocketAddr {
        self.address
    }

    async fn accept(&mut self) -> io::Result<Arrival> {
        match self.arrivals.recv().await {
            Some(arrival) => Ok(arrival),
            None => std::future::pending().await,
        }
    }
}

#[async_trait]
impl Network for MemoryNetwork {
    async fn connect(&self, to: SocketAddr) -> io::Result<BoxStream> {
        let (near, far) = tokio::io::duplex(PIPE_BYTES);
        let listeners = self.listeners.lock();
        let listener = listeners.get(&to).ok_or(io::ErrorKind::ConnectionRefused)?;
        listener.send((Box::new(far), to)).map_err(|_| io::ErrorKind::ConnectionRefused)?;
        Ok(Box::new(near))
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<BoxListener> {
        let mut listeners = self.listeners.lock();
        let port = u16::try_from(listeners.len() + 1).unwrap();
        let address = SocketAddr::new(at.ip(), port);
        let (sender, arrivals) = mpsc::unbounded_channel();
        listeners.insert(address, sender);
        Ok(Box::new(MemoryListener { address, arrivals }))
    }
}

pub fn network() -> Arc<MemoryNetwork> {
    Arc::new(MemoryNetwork::default())
}

pub fn request(method: Method, path: &str, body: &str) -> Request<Full<Bytes>> {
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    Request::builder().method(method).uri(path).header("host", "platform").body(body).unwrap()
}

pub async fn open(
    network: &MemoryNetwork,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<HttpExchange, HttpClientError> {
    send_request(network, address, request).await
}

pub async fn call(
    network: &MemoryNetwork,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, HttpClientError> {
    let exchange = open(network, address, request).await?;
    collect_body(exchange, BODY_LIMIT).await
}

pub fn header<'a, B>(response: &'a Response<B>, name: &str) -> &'a str {
    response.headers().get(name).map_or("", |value| value.to_str().unwrap())
}
