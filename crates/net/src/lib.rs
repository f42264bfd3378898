//! Transport traits with a TCP and UDP implementation, framing of internal messages, and a small HTTP/1.1
//! client.
//!
//! All of the daemon's traffic goes through [`Network`], so that the simulation can replace TCP by simulated
//! links, delays and failures and run the same code.

mod framing;
mod http_client;
mod tcp;
mod transport;

pub use framing::{FrameError, FrameReader, FrameWriter, MAX_FRAME_BYTES};
pub use http_client::{HttpClientError, HttpExchange, collect_body, is_over_limit, send_request};
pub use tcp::TcpNetwork;
pub use transport::{BoxDatagrams, BoxListener, BoxStream, Datagrams, Listener, Network, Stream};
