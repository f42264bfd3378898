//! Heartbeats on the wire.

use std::sync::Arc;
use std::time::Duration;

use ractor::ActorRef;
use tokio::time::sleep;
use umberpond_membership::{Heartbeat, Outgoing};
use umberpond_net::BoxDatagrams;
use umberpond_telemetry::{Direction, Event, Metrics, Telemetry};

use super::actor::MembershipMessage;

/// Kind of message in the figures.
const HEARTBEAT: &str = "heartbeat";
/// Longest datagram, in bytes; a heartbeat stays well below it.
const MAX_DATAGRAM: usize = 8 * 1024;
/// Pause after a failed receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(20);

/// Sends heartbeats.
pub(super) fn send(socket: &BoxDatagrams, outgoing: &[Outgoing], metrics: &Metrics) {
    for Outgoing { to, heartbeat } in outgoing {
        let bytes = bitcode::encode(heartbeat);
        metrics.control(Direction::Out, HEARTBEAT, bytes.len());
        socket.send(&bytes, *to);
    }
}

/// Hands every heartbeat to the membership. Ends with the membership.
pub(crate) async fn receive_datagrams(
    socket: Arc<BoxDatagrams>,
    membership: ActorRef<MembershipMessage>,
    telemetry: Telemetry,
) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((length, sender)) = socket.receive(&mut buffer).await else {
            sleep(RECEIVE_PAUSE).await;
            continue;
        };
        telemetry.metrics().control(Direction::In, HEARTBEAT, length);
        match bitcode::decode::<Heartbeat>(&buffer[..length]) {
            Ok(heartbeat) => {
                let message = MembershipMessage::Heartbeat { from: sender, heartbeat: Box::new(heartbeat) };
                if membership.send_message(message).is_err() {
                    return;
                }
            }
            Err(_) => telemetry.emit(Event::DatagramRefused { sender }),
        }
    }
}
