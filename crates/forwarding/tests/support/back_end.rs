//! A scripted back end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, sleep};
use umberpond_http1::{BodyDecoder, MessageReader, ReadLimits, RequestHead, request_framing};
use umberpond_net::{BoxStream, Network};

/// What a scripted back end does with one request.
#[derive(Debug, Clone)]
pub enum ScriptedResponse {
    /// Responds with this status and body after some milliseconds.
    Respond { status: u16, body: &'static str, after: u64 },
    /// Writes this instead of a regular response; `{id}` stands for the identity of the request. The
    /// connection stays open.
    Raw(&'static str),
    /// As [`ScriptedResponse::Raw`], and closes the connection.
    RawThenClose(&'static str),
    /// Writes the first part immediately, and the second after some milliseconds.
    InTwoParts { first: &'static str, second: &'static str, after: u64 },
    /// Writes the first part, and then the other one again and again until the node closes the connection.
    Endless { first: &'static str, repeated: &'static str },
    /// Sends no response and keeps the connection open.
    NoResponse,
    /// Responds before it has read the body, and reads nothing more.
    RespondEarly { status: u16, body: &'static str },
}

/// The actions in the order of the requests; the last one is repeated.
pub type Script = Vec<ScriptedResponse>;

/// A successful response with a body, after 5 ms.
pub const fn ok(body: &'static str) -> ScriptedResponse {
    ScriptedResponse::Respond { status: 200, body, after: 5 }
}

/// A request as the back end received it.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    pub head: RequestHead,
    pub body: Vec<u8>,
    pub at: Instant,
    pub connection: usize,
}

impl ReceivedRequest {
    pub fn text(&self, name: &str) -> Option<&str> {
        self.head.fields.text(name)
    }
}

/// Size of the blocks in which an endless response is written, in bytes.
const ENDLESS_BLOCK_BYTES: usize = 4_096;
/// Time between two such blocks.
const ENDLESS_BLOCK_INTERVAL: Duration = Duration::from_millis(2);

/// Default load in health responses.
const HEALTH_LOAD: &str = "1,0,7";

#[derive(Debug, Default)]
struct State {
    /// Load in health responses; [`HEALTH_LOAD`] if `None`.
    health_load: Option<&'static str>,
    /// Written in place of health responses, if set.
    raw_health: Option<&'static str>,
    received: Vec<ReceivedRequest>,
    connections: usize,
    closed: Vec<(usize, Instant)>,
}

/// A back end that handles requests according to a script.
pub struct ScriptedBackEnd {
    state: Arc<Mutex<State>>,
}

impl ScriptedBackEnd {
    pub async fn start(network: &Arc<dyn Network>, at: SocketAddr, instance: &str, script: Script) -> Self {
        let state: Arc<Mutex<State>> = Arc::default();
        let mut listener = network.listen(at).await.unwrap();
        let shared = Arc::clone(&state);
        let instance = instance.to_owned();
        tokio::spawn(async move {
            loop {
                let (stream, _peer) = listener.accept().await.unwrap();
                let connection = {
                    let mut state = shared.lock();
                    state.connections += 1;
                    state.connections
                };
                let (state, script, instance) = (Arc::clone(&shared), script.clone(), instance.clone());
                tokio::spawn(async move {
                    serve(stream, connection, &state, &script, &instance).await;
                    state.lock().closed.push((connection, Instant::now()));
                });
            }
        });
        Self { state }
    }

    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.state.lock().received.clone()
    }

    /// Sets the load in health responses.
    pub fn set_health_load(&self, load: &'static str) {
        self.state.lock().health_load = Some(load);
    }

    /// Writes `raw` in place of all further health responses.
    pub fn set_raw_health(&self, raw: &'static str) {
        self.state.lock().raw_health = Some(raw);
    }

    pub fn connections(&self) -> usize {
        self.state.lock().connections
    }

    /// Time at which each connection ended.
    pub fn closed(&self) -> Vec<(usize, Instant)> {
        self.state.lock().closed.clone()
    }
}

async fn serve(stream: BoxStream, connection: usize, state: &Mutex<State>, script: &Script, instance: &str) {
    let (reader, mut writer) = tokio::io::split(stream);
    let mut reader = MessageReader::new(reader);
    let limits = ReadLimits { head_bytes: 64 * 1024, head_time: Duration::from_secs(60) };
    while let Ok(Some(head)) = reader.request_head(limits).await {
        if &head.target[..] == b"/well" {
            let raw = state.lock().raw_health;
            if let Some(raw) = raw {
                writer.write_all(raw.as_bytes()).await.unwrap();
                continue;
            }
            let load = state.lock().health_load.unwrap_or(HEALTH_LOAD);
            let response = format!(
                "HTTP/1.1 200 OK\r\numberpond-serving-instance: {instance}\r\numberpond-load: {load}\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            writer.write_all(response.as_bytes()).await.unwrap();
            continue;
        }
        let act = {
            let number = state.lock().received.len();
            script[number.min(script.len() - 1)].clone()
        };
        let at = Instant::now();
        let mut body = Vec::new();
        if !matches!(act, ScriptedResponse::RespondEarly { .. }) {
            let mut decoder = BodyDecoder::new(request_framing(&head).unwrap());
            match reader.whole_body(&mut decoder, 1 << 20).await {
                Ok(Some(whole)) => body = whole.to_vec(),
                _ => return,
            }
        }
        let id = head.fields.text("umberpond-request").unwrap_or_default().to_owned();
        state.lock().received.push(ReceivedRequest { head, body, at, connection });
        match act {
            ScriptedResponse::Respond { status, body, after } => {
                tokio::select! {
                    biased;
                    () = reader.peer_gone(1) => return,
                    () = sleep(Duration::from_millis(after)) => {}
                }
                let response = response(status, body, &id, instance);
                if writer.write_all(response.as_bytes()).await.is_err() {
                    return;
                }
            }
            ScriptedResponse::RespondEarly { status, body } => {
                writer.write_all(response(status, body, &id, instance).as_bytes()).await.unwrap();
                reader.peer_gone(usize::MAX).await;
                return;
            }
            ScriptedResponse::InTwoParts { first, second, after } => {
                writer.write_all(first.replace("{id}", &id).as_bytes()).await.unwrap();
                sleep(Duration::from_millis(after)).await;
                if writer.write_all(second.as_bytes()).await.is_err() {
                    return;
                }
            }
            ScriptedResponse::Raw(raw) => {
                writer.write_all(raw.replace("{id}", &id).as_bytes()).await.unwrap()
            }
            ScriptedResponse::RawThenClose(raw) => {
                writer.write_all(raw.replace("{id}", &id).as_bytes()).await.unwrap();
                return;
            }
            ScriptedResponse::Endless { first, repeated } => {
                writer.write_all(first.replace("{id}", &id).as_bytes()).await.unwrap();
                let block = repeated.repeat(ENDLESS_BLOCK_BYTES.div_ceil(repeated.len()));
                while writer.write_all(block.as_bytes()).await.is_ok() {
                    sleep(ENDLESS_BLOCK_INTERVAL).await;
                }
                return;
            }
            ScriptedResponse::NoResponse => {
                reader.peer_gone(usize::MAX).await;
                return;
            }
        }
    }
}

fn response(status: u16, body: &str, id: &str, instance: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} Said\r\numberpond-request: {id}\r\nx-proof: proof-of-{instance}\r\n\
         Kept: yes\r\nConnection: keep-alive\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
