//! A test caller.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncWriteExt, ReadHalf, WriteHalf};
use umberpond_http1::{BodyDecoder, Fields, MessageReader, ResponseHead, response_framing};
use umberpond_net::{BoxStream, Network};

/// A response as the caller read it.
#[derive(Debug, Clone)]
pub struct ReceivedResponse {
    pub status: u16,
    pub fields: Fields,
    /// `None` if the body ended prematurely.
    pub body: Option<Vec<u8>>,
}

impl ReceivedResponse {
    pub fn text(&self) -> &str {
        std::str::from_utf8(self.body.as_deref().unwrap_or_default()).unwrap()
    }
}

/// Connection of a caller to its node.
pub struct Caller {
    reader: MessageReader<ReadHalf<BoxStream>>,
    writer: WriteHalf<BoxStream>,
}

impl Caller {
    pub async fn connect(network: &Arc<dyn Network>, to: SocketAddr) -> Self {
        let (reader, writer) = tokio::io::split(network.connect(to).await.unwrap());
        Self { reader: MessageReader::new(reader), writer }
    }

    pub async fn write(&mut self, bytes: impl AsRef<[u8]>) {
        self.writer.write_all(bytes.as_ref()).await.unwrap();
    }

    /// Sends a request without a body.
    pub async fn send(&mut self, path: &str, id: &str) {
        self.write(get(path, id)).await;
    }

    /// Reads the next response; `None` if the connection ends before one.
    pub async fn read(&mut self) -> Option<ReceivedResponse> {
        let head = self.reader.response_head(64 * 1024).await.ok()?;
        let mut decoder = BodyDecoder::new(response_framing(&head, b"GET").unwrap());
        let body = self.reader.whole_body(&mut decoder, 1 << 22).await.ok().flatten();
        Some(ReceivedResponse {
            status: head.status,
            fields: head.fields,
            body: body.map(|body| body.to_vec()),
        })
    }

    /// Reads the head of the next response.
    pub async fn read_head(&mut self) -> ResponseHead {
        self.reader.response_head(64 * 1024).await.expect("a response head")
    }

    /// Discards what arrives until the connection ends.
    pub async fn discard(&mut self) {
        self.reader.discard_until_gone().await;
    }

    /// Reads the body that follows `head`; `None` if it ends prematurely.
    pub async fn read_rest(&mut self, head: &ResponseHead) -> Option<Vec<u8>> {
        let mut decoder = BodyDecoder::new(response_framing(head, b"GET").unwrap());
        let body = self.reader.whole_body(&mut decoder, 1 << 22).await.ok().flatten();
        body.map(|body| body.to_vec())
    }

    /// Sends a request and reads its response.
    pub async fn ask(&mut self, path: &str, id: &str) -> ReceivedResponse {
        self.send(path, id).await;
        self.read().await.expect("a response")
    }
}

pub fn get(path: &str, id: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: x.example\r\numberpond-request: {id}\r\n\r\n")
}
