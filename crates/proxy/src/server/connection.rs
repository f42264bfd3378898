//! One accepted connection.

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::BoxFuture;
use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio_util::sync::CancellationToken;
use umberpond_net::BoxStream;

use super::body::ServedBody;
use super::caller_body::CallerBody;
use super::tracker::Tracker;
use super::watched_stream::{ConnectionWatch, ReadLimits, WatchedStream};
use crate::refusal::{Refusal, SLOW_HEAD_ANSWER};
use crate::server::CheckedRequest;
use crate::{ProxyState, inbound, outbound};

/// Most bytes that are read and dropped after an answer.
const LINGER_BYTES: u64 = 16 * 1024 * 1024;
/// Longest time for which they are read.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Ends the writing side, then reads what the peer still sends for a while. Closing with unread bytes would reset
/// the connection, and the peer could lose an answer that it has not read yet.
async fn close_gently(stream: &mut WatchedStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut rest = stream.rest().take(LINGER_BYTES);
    let mut nowhere = tokio::io::sink();
    let reading = tokio::io::copy(&mut rest, &mut nowhere);
    let _ = tokio::time::timeout(LINGER_TIME, reading).await;
}

/// Which half of the proxy a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Half {
    /// Other nodes call the local back end.
    Inbound,
    /// Local callers call other services.
    Outbound,
}

/// What all connections of a listener share.
#[derive(Clone)]
pub(crate) struct Server {
    pub(crate) half: Half,
    pub(crate) state: Arc<ProxyState>,
    pub(crate) tracker: Arc<Tracker>,
    /// Cancelled when idle connections are to close.
    pub(crate) closing: CancellationToken,
}

impl Server {
    /// Serves `stream` until its peer or a limit ends it, or until it is idle and the listener closes.
    pub(crate) async fn serve(self, stream: BoxStream) {
        let settings = &self.state.settings;
        let watch = ConnectionWatch::new(settings.max_head_bytes);
        let limits = ReadLimits { head: settings.head_read_timeout, idle: settings.caller_idle_timeout };
        let io = TokioIo::new(WatchedStream::new(stream, Arc::clone(&watch), limits));
        let service = service_fn(|request| self.answer(Arc::clone(&watch), request));
        let mut connection = Builder::new()
            .max_headers(settings.max_headers)
            .max_header_size(settings.max_head_bytes)
            .header_read_timeout(None)
            // The date would come from the wall clock.
            .auto_date_header(false)
            .serve_connection(io, service);
        let served = poll_fn(|context| connection.poll_without_shutdown(context));
        let closed_first = {
            tokio::pin!(served);
            tokio::select! {
                biased;
                _ = &mut served => false,
                () = self.closing.cancelled() => true,
            }
        };
        if closed_first {
            Pin::new(&mut connection).graceful_shutdown();
            let _ = poll_fn(|context| connection.poll_without_shutdown(context)).await;
        }
        let mut stream = connection.into_parts().io.into_inner();
        if watch.was_slow() {
            let _ = stream.write_all(SLOW_HEAD_ANSWER).await;
        }
        close_gently(&mut stream).await;
    }

    fn answer(
        &self,
        watch: Arc<ConnectionWatch>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<ServedBody>, Infallible>> {
        let server = self.clone();
        Box::pin(async move {
            let busy = watch.open_request();
            let verdict = watch.next_verdict();
            let request = request.map(CallerBody::new);
            let was_read = request.body().was_read();
            let mut response = match CheckedRequest::check(&request, verdict.as_ref()) {
                Err(malformed) => {
                    let in_flight = Some(server.tracker.start());
                    let refusal = Refusal::malformed(malformed);
                    server.state.refuse(refusal, None, in_flight)
                }
                Ok(checked) => match server.half {
                    Half::Inbound => inbound::handle(&server, request).await,
                    Half::Outbound => outbound::handle(&server, request, checked).await,
                },
            };
            if !was_read.load(Ordering::Acquire) {
                response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok(response.map(|body| ServedBody::new(body, busy)))
        })
    }
}
