//! Accepts and serves the connections of a listener.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use umberpond_net::BoxListener;
use umberpond_telemetry::{Event, Telemetry};

use super::caller::CallerConnection;
use super::control::ServerControl;
use crate::hop::serve_hop_connection;
use crate::inbound::Inbound;
use crate::outbound::Outbound;

/// Pause after a failed accept, so that a lack of file descriptors doesn't cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Maximum number of connections that one listener serves concurrently.
const MAX_CONNECTIONS: usize = 1_500;

/// Serves local callers. Dropping the future closes every connection.
pub async fn serve_outbound(
    mut listener: BoxListener,
    outbound: Arc<Outbound>,
    control: ServerControl,
    telemetry: Telemetry,
) {
    let mut connections = JoinSet::new();
    loop {
        control.set_full(connections.len() >= MAX_CONNECTIONS);
        make_room(&mut connections).await;
        control.set_full(false);
        let Some(stream) = accept(&mut listener, &mut connections, "outbound", &telemetry).await else {
            continue;
        };
        let connection = CallerConnection::new(stream, Arc::clone(&outbound), control.clone());
        connections.spawn(connection.serve());
    }
}

/// Serves other nodes. Dropping the future closes every connection.
pub async fn serve_inbound(mut listener: BoxListener, inbound: Arc<Inbound>, telemetry: Telemetry) {
    let mut connections = JoinSet::new();
    loop {
        make_room(&mut connections).await;
        let Some(stream) = accept(&mut listener, &mut connections, "inbound", &telemetry).await else {
            continue;
        };
        connections.spawn(serve_hop_connection(stream, Arc::clone(&inbound)));
    }
}

/// Waits until the number of connections is below the maximum.
async fn make_room(connections: &mut JoinSet<()>) {
    while connections.len() >= MAX_CONNECTIONS {
        connections.join_next().await;
    }
}

async fn accept(
    listener: &mut BoxListener,
    connections: &mut JoinSet<()>,
    name: &'static str,
    telemetry: &Telemetry,
) -> Option<umberpond_net::BoxStream> {
    let accepted = loop {
        tokio::select! {
            biased;
            Some(_ended) = connections.join_next() => {}
            accepted = listener.accept() => break accepted,
        }
    };
    match accepted {
        Ok((stream, _peer)) => Some(stream),
        Err(error) => {
            telemetry.emit(Event::AcceptFailed { listener: name, reason: error.to_string() });
            tokio::time::sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}
