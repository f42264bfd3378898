//! The platform stand-in as a process.

use std::net::SocketAddr;
use std::process::ExitCode;

use umberpond_net::TcpNetwork;
use umberpond_standins::platform::Platform;
use umberpond_standins::program::{
    DEFAULT_SECONDS, ProgramError, ReadyLine, check_loopback, exit_code, print_line, wait_for_end,
};

#[tokio::main]
async fn main() -> ExitCode {
    let flags = xflags::parse_or_exit! {
        /// Loopback address to listen at; port 0 takes any free port.
        optional --listen address: SocketAddr
        /// End after so many seconds.
        optional --seconds seconds: u64
    };
    let address = flags.listen.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
    exit_code(serve(address, flags.seconds.unwrap_or(DEFAULT_SECONDS)).await)
}

async fn serve(address: SocketAddr, seconds: u64) -> Result<(), ProgramError> {
    let platform = Platform::start(&TcpNetwork, check_loopback(address)?).await?;
    print_line(&ReadyLine { address: platform.address() })?;
    wait_for_end(seconds).await
}
