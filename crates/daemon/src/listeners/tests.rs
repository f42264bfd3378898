//! Tests of ports that are free for streams but in use for datagrams.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};

use async_trait::async_trait;
use umberpond_net::{BoxDatagrams, BoxListener, BoxStream, Datagrams, Listener, Network};
use umberpond_telemetry::{MemoryRecorder, Telemetry};

use super::open_control;
use crate::environment::Environment;
use crate::error::StartError;

/// A network that assigns consecutive ports. Ports below `first_free` are in use for datagrams.
struct CrowdedNetwork {
    last_port: AtomicU16,
    first_free: u16,
}

struct OpenPort(SocketAddr);

#[async_trait]
impl Network for CrowdedNetwork {
    async fn connect(&self, _to: SocketAddr) -> io::Result<BoxStream> {
        Err(io::ErrorKind::Unsupported.into())
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<BoxListener> {
        let next_port = || self.last_port.fetch_add(1, Ordering::Relaxed) + 1;
        let port = if at.port() == 0 { next_port() } else { at.port() };
        Ok(Box::new(OpenPort(SocketAddr::new(at.ip(), port))))
    }

    async fn datagrams(&self, at: SocketAddr) -> io::Result<BoxDatagrams> {
        if at.port() < self.first_free {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        Ok(Box::new(OpenPort(at)))
    }
}

#[async_trait]
impl Listener for OpenPort {
    fn local_addr(&self) -> SocketAddr {
        self.0
    }

    async fn accept(&mut self) -> io::Result<(BoxStream, SocketAddr)> {
        std::future::pending().await
    }
}

#[async_trait]
impl Datagrams for OpenPort {
    fn local_addr(&self) -> SocketAddr {
        self.0
    }

    fn send(&self, _bytes: &[u8], _to: SocketAddr) {}

    async fn receive(&self, _buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        std::future::pending().await
    }
}

fn crowded(first_free: u16) -> Environment {
    Environment {
        network: Arc::new(CrowdedNetwork { last_port: AtomicU16::new(0), first_free }),
        seed: 1,
        telemetry: Telemetry::to_observer(Arc::new(MemoryRecorder::default()) as _),
        boot_clock: Arc::new(crate::suspension::NoBootClock),
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[tokio::test]
async fn a_port_chosen_by_the_system_is_not_in_use_for_datagrams() {
    let (control, datagrams) = open_control(&crowded(4), address(0)).await.unwrap();
    assert_eq!((control.local_addr(), datagrams.local_addr()), (address(4), address(4)));
}

#[tokio::test]
async fn a_configured_port_in_use_is_not_replaced_by_another() {
    let failed = open_control(&crowded(4), address(3)).await.err();
    assert!(matches!(failed, Some(StartError::Listen { listener: "datagrams", .. })), "{failed:?}");
}

#[tokio::test]
async fn the_search_for_a_free_port_does_not_run_forever() {
    let failed = open_control(&crowded(u16::MAX), address(0)).await.err();
    assert!(matches!(failed, Some(StartError::Listen { .. })), "{failed:?}");
}
