//! One listener: accepts connections, drains, and ends.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use umberpond_net::BoxListener;

use super::connection::{Half, Server};
use super::tracker::Tracker;
use crate::{DrainReport, ProxyState, ShutdownPhase, ShutdownSignal};

/// Pause after a failed accept, so that a lack of file descriptors doesn't become a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves `listener` until the shutdown has ended.
pub(crate) async fn serve_listener(
    half: Half,
    listener: BoxListener,
    state: Arc<ProxyState>,
    mut shutdown: ShutdownSignal,
) -> DrainReport {
    let tracker = Tracker::new(shutdown.clone());
    let closing = CancellationToken::new();
    let server = Server { half, state, tracker: Arc::clone(&tracker), closing: closing.clone() };
    let mut connections = JoinSet::new();
    let mut killed = shutdown.clone();
    tokio::select! {
        biased;
        () = killed.reached(ShutdownPhase::Killed) => {}
        () = serve_and_drain(&server, listener, &mut connections, &mut shutdown) => {}
    }
    connections.shutdown().await;
    tracker.report()
}

async fn serve_and_drain(
    server: &Server,
    mut listener: BoxListener,
    connections: &mut JoinSet<()>,
    shutdown: &mut ShutdownSignal,
) {
    let grace = server.state.settings.drain_grace;
    let drained = async {
        shutdown.reached(ShutdownPhase::Draining).await;
        tokio::time::sleep(grace).await;
    };
    tokio::select! {
        biased;
        () = drained => {}
        () = accept_all(server, &mut listener, connections) => {}
    }
    drop(listener);
    server.closing.cancel();
    while connections.join_next().await.is_some() {}
}

/// Accepts without end, within the bound on connections.
async fn accept_all(server: &Server, listener: &mut BoxListener, connections: &mut JoinSet<()>) {
    let room = Arc::new(Semaphore::new(server.state.settings.max_connections));
    loop {
        let Ok(permit) = Arc::clone(&room).acquire_owned().await else { return };
        let accepted = loop {
            tokio::select! {
                biased;
                Some(_ended) = connections.join_next() => {}
                accepted = listener.accept() => break accepted,
            }
        };
        match accepted {
            Ok((stream, _peer)) => {
                let server = server.clone();
                connections.spawn(async move {
                    server.serve(stream).await;
                    drop(permit);
                });
            }
            Err(_one_stream) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}
