//! The listeners of a daemon.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use umberpond_net::{BoxDatagrams, BoxListener};
use umberpond_telemetry::Event;

use crate::environment::Environment;
use crate::error::StartError;
use crate::settings::NodeConfig;

#[cfg(test)]
mod tests;

/// Maximum number of attempts to find a port that is free for both streams and datagrams, if the settings let
/// the system choose the port. Without retries, one process in several hundred failed to start because
/// another process used the chosen port for datagrams.
const MAX_PORT_ATTEMPTS: u32 = 20;

/// The open listeners of a daemon.
pub(crate) struct Listeners {
    pub(crate) inbound: BoxListener,
    pub(crate) outbound: BoxListener,
    pub(crate) control: BoxListener,
    pub(crate) datagrams: Arc<BoxDatagrams>,
}

impl Listeners {
    /// Opens all listeners of `config`.
    ///
    /// # Errors
    /// Returns [`StartError::Listen`] if one of them can't be opened.
    pub(crate) async fn open(config: &NodeConfig, environment: &Environment) -> Result<Self, StartError> {
        let (control, datagrams) = open_control(environment, config.listen.control).await?;
        Ok(Self {
            inbound: listen(environment, "inbound", config.listen.inbound).await?,
            outbound: listen(environment, "outbound", config.listen.outbound).await?,
            control,
            datagrams: Arc::new(datagrams),
        })
    }
}

/// Opens a listener and emits an event for it.
///
/// # Errors
/// Returns [`StartError::Listen`] if that fails.
pub async fn listen(
    environment: &Environment,
    listener: &'static str,
    address: SocketAddr,
) -> Result<BoxListener, StartError> {
    let opened = environment.network.listen(address).await;
    let opened = opened.map_err(|source| StartError::Listen { listener, address, source })?;
    environment.telemetry.emit(Event::Listening { listener, address: opened.local_addr() });
    Ok(opened)
}

/// Opens the control listener and the datagram socket on the same port.
async fn open_control(
    environment: &Environment,
    address: SocketAddr,
) -> Result<(BoxListener, BoxDatagrams), StartError> {
    let mut attempts = 1;
    loop {
        let control = listen(environment, "control", address).await?;
        let at = control.local_addr();
        match environment.network.datagrams(at).await {
            Ok(datagrams) => return Ok((control, datagrams)),
            Err(source) if is_port_taken(&source) && address.port() == 0 && attempts < MAX_PORT_ATTEMPTS => {
                attempts += 1
            }
            Err(source) => return Err(StartError::Listen { listener: "datagrams", address: at, source }),
        }
    }
}

fn is_port_taken(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::AddrInUse
}
