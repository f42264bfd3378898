//! The back end stand-in as a process.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use umberpond_model::{Locality, RegionName, ServiceName, ZoneName};
use umberpond_net::TcpNetwork;
use umberpond_standins::backend::{Backend, BackendSettings};
use umberpond_standins::program::{
    DEFAULT_SECONDS, ProgramError, ReadyLine, check_loopback, exit_code, print_line, wait_for_end,
};

const DEFAULT_SLOTS: u64 = 20;
const DEFAULT_SERVICE_MILLIS: u64 = 5;

#[tokio::main]
async fn main() -> ExitCode {
    let flags = xflags::parse_or_exit! {
        /// Name of the back end, for its ledger.
        required --name name: String
        /// Service it belongs to.
        required --service service: ServiceName
        /// Region it runs in.
        required --region region: RegionName
        /// Zone it runs in.
        required --zone zone: ZoneName
        /// Loopback address to listen at; port 0 takes any free port.
        optional --listen address: SocketAddr
        /// Requests that run at the same time, at most.
        optional --slots slots: u64
        /// Service time of a request that doesn't ask for one of its own.
        optional --service-millis millis: u64
        /// Time after the start in which it refuses all work.
        optional --cold-start-millis millis: u64
        /// Time after the cold start in which it works slower.
        optional --warm-up-millis millis: u64
        /// End after so many seconds.
        optional --seconds seconds: u64
    };
    let settings = BackendSettings {
        instance: Some(format!("{}-{}", flags.name, std::process::id())),
        name: flags.name,
        service: flags.service,
        locality: Locality { region: flags.region, zone: flags.zone },
        slots: flags.slots.unwrap_or(DEFAULT_SLOTS),
        service_time: Duration::from_millis(flags.service_millis.unwrap_or(DEFAULT_SERVICE_MILLIS)),
        cold_start: Duration::from_millis(flags.cold_start_millis.unwrap_or(0)),
        warm_up: Duration::from_millis(flags.warm_up_millis.unwrap_or(0)),
    };
    let address = flags.listen.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
    exit_code(serve(address, settings, flags.seconds.unwrap_or(DEFAULT_SECONDS)).await)
}

async fn serve(address: SocketAddr, settings: BackendSettings, seconds: u64) -> Result<(), ProgramError> {
    let backend = Backend::start(&TcpNetwork, check_loopback(address)?, settings).await?;
    print_line(&ReadyLine { address: backend.address() })?;
    wait_for_end(seconds).await
}
