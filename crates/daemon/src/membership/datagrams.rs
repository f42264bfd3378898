//! Encoding, sending and receiving of membership datagrams.

use std::sync::Arc;
use std::time::Duration;

use ractor::ActorRef;
use tokio::time::sleep;
use umberpond_membership::{Datagram, Outgoing};
use umberpond_net::BoxDatagrams;
use umberpond_telemetry::{Direction, Event, Metrics, Telemetry};

use super::message::MembershipMessage;

/// Size of the receive buffer in bytes; all datagrams stay well below it.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;
/// Pause after a failed receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(20);

/// Encodes and sends datagrams.
pub(super) fn send(socket: &BoxDatagrams, outgoing: &[Outgoing], metrics: &Metrics) {
    for Outgoing { to, datagram } in outgoing {
        let bytes = bitcode::encode(datagram);
        metrics.control(Direction::Out, datagram.kind(), bytes.len());
        socket.send(&bytes, *to);
    }
}

/// Passes each received datagram to the membership actor, until that actor ends.
pub(crate) async fn receive_datagrams(
    socket: Arc<BoxDatagrams>,
    membership: ActorRef<MembershipMessage>,
    telemetry: Telemetry,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, sender)) = socket.receive(&mut buffer).await else {
            sleep(RECEIVE_PAUSE).await;
            continue;
        };
        match bitcode::decode::<Datagram>(&buffer[..length]) {
            Ok(datagram) => {
                telemetry.metrics().control(Direction::In, datagram.kind(), length);
                let message = MembershipMessage::Datagram { from: sender, datagram: Box::new(datagram) };
                if membership.send_message(message).is_err() {
                    return;
                }
            }
            Err(_) => telemetry.emit(Event::DatagramRefused { sender }),
        }
    }
}
