//! Datagrams between hosts: each is delayed by its link and may be lost.

use std::io;
use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::sync::{Mutex, mpsc};
use umberpond_net::Datagrams;

use crate::Host;

/// A received datagram.
#[derive(Debug)]
pub(super) struct Datagram {
    pub(super) bytes: Bytes,
    pub(super) sender: SocketAddr,
}

/// A datagram socket of the simulated network.
#[derive(Debug)]
pub(super) struct SimDatagrams {
    pub(super) address: SocketAddr,
    pub(super) incoming: Mutex<mpsc::UnboundedReceiver<Datagram>>,
    pub(super) sender: Host,
}

#[async_trait]
impl Datagrams for SimDatagrams {
    fn local_addr(&self) -> SocketAddr {
        self.address
    }

    fn send(&self, bytes: &[u8], to: SocketAddr) {
        let network = self.sender.network.clone();
        let delivery = network.fabric.lock().send_datagram(self.sender.generation, self.address, to);
        let Some(delivery) = delivery else { return };
        let datagram = Datagram { bytes: Bytes::copy_from_slice(bytes), sender: self.address };
        tokio::spawn(async move {
            tokio::time::sleep(delivery.delay).await;
            // Sending fails if the receiving socket has been closed in the meantime.
            let _ = delivery.receiver.send(datagram);
        });
    }

    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        let Some(datagram) = self.incoming.lock().await.recv().await else {
            // The host was killed, so no further datagram can arrive.
            return std::future::pending().await;
        };
        let length = datagram.bytes.len().min(buffer.len());
        buffer[..length].copy_from_slice(&datagram.bytes[..length]);
        Ok((length, datagram.sender))
    }
}
