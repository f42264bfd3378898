//! The reader lease of a zone. It keeps the number of readers down; nothing else rests on it.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep, sleep_until};
use umberpond_model::{Locality, NodeName};
use umberpond_overlay::interface::PlatformEvent;
use umberpond_platform::{Backoff, LeaseAnswer, PlatformError};
use umberpond_telemetry::Event;

use super::actor::PlatformContext;
use super::backoff::PLATFORM_BACKOFF;
use super::{maintenance, reader_address};
use crate::admin::api::ReaderAddress;

/// Leases of one zone: one for each of its readers.
const LEASES_PER_ZONE: usize = 2;

/// Time for which a lease is asked.
const LEASE_DURATION: Duration = Duration::from_secs(15);

/// Renewals within the duration of a lease, so that one lost answer does not lose the lease.
const RENEWALS_PER_DURATION: u32 = 3;

/// The leases that a node may hold, and what it publishes with one.
#[derive(Debug, Clone)]
pub(super) struct ReaderLease {
    holder: NodeName,
    names: Vec<String>,
    address: ReaderAddress,
}

impl ReaderLease {
    pub(super) fn new(holder: NodeName, locality: &Locality, address: ReaderAddress) -> Self {
        let name = |slot| format!("reader.{}.{}.{slot}", locality.region, locality.zone);
        Self { holder, names: (0..LEASES_PER_ZONE).map(name).collect(), address }
    }
}

/// A lease that this node holds.
struct Held<'a> {
    name: &'a str,
    until: Instant,
}

/// Acquires one of the zone's leases and renews it until it is refused or lapses. Ends with `LeaseLost`.
pub(super) async fn hold(context: PlatformContext, lease: ReaderLease, mut rng: ChaCha8Rng) {
    let mut backoff = Backoff::new(PLATFORM_BACKOFF);
    let held = loop {
        match acquire_any(&context, &lease).await {
            Ok(held) => break held,
            Err(error) => unavailable(&context, "acquire-lease", &error),
        }
        sleep(backoff.next_wait(&mut rng, None)).await;
    };
    let Some(mut held) = held else {
        context.tell(PlatformEvent::LeaseLost);
        return;
    };
    context.telemetry.emit(Event::LeaseGranted { lease: held.name.to_owned() });
    context.tell(PlatformEvent::LeaseGranted);
    reader_address::publish(&context, held.name, &lease.address).await;
    tokio::select! {
        biased;
        () = keep(&context, &lease, &mut held) => {}
        () = maintenance::maintain(&context, &lease.holder, rng) => {}
    }
    context.telemetry.emit(Event::LeaseLost { lease: held.name.to_owned() });
    context.tell(PlatformEvent::LeaseLost);
}

/// Tries the zone's leases in order; `None` if others hold them all.
async fn acquire_any<'a>(
    context: &PlatformContext,
    lease: &'a ReaderLease,
) -> Result<Option<Held<'a>>, PlatformError> {
    for name in &lease.names {
        let asked = Instant::now();
        match context.client.acquire_lease(name, &lease.holder, LEASE_DURATION).await {
            Ok(LeaseAnswer::Granted { expires_in }) => {
                context.telemetry.metrics().platform_request("acquire-lease", "ok");
                return Ok(Some(Held { name, until: asked + expires_in }));
            }
            Ok(LeaseAnswer::Held { .. }) => {
                context.telemetry.metrics().platform_request("acquire-lease", "held");
            }
            Err(error) => return Err(error),
        }
    }
    Ok(None)
}

/// Renews a lease until it is refused or has lapsed.
async fn keep(context: &PlatformContext, lease: &ReaderLease, held: &mut Held<'_>) {
    let interval = LEASE_DURATION / RENEWALS_PER_DURATION;
    let mut next = Instant::now() + interval;
    loop {
        sleep_until(next).await;
        let asked = Instant::now();
        next = asked + interval;
        match context.client.renew_lease(held.name, &lease.holder, LEASE_DURATION).await {
            Ok(LeaseAnswer::Granted { expires_in }) => {
                context.telemetry.metrics().platform_request("renew-lease", "ok");
                held.until = asked + expires_in;
            }
            Ok(LeaseAnswer::Held { .. }) => return,
            Err(error) => unavailable(context, "renew-lease", &error),
        }
        if Instant::now() >= held.until {
            return;
        }
    }
}

/// Gives all leases of the zone back that this node may hold.
pub(super) async fn release(context: PlatformContext, lease: ReaderLease) {
    for name in &lease.names {
        if let Err(error) = context.client.release_lease(name, &lease.holder).await {
            // It lapses by itself.
            unavailable(&context, "release-lease", &error);
        }
    }
}

fn unavailable(context: &PlatformContext, operation: &'static str, error: &PlatformError) {
    context.telemetry.metrics().platform_request(operation, "failed");
    context.telemetry.emit(Event::PlatformUnavailable { operation, reason: error.to_string() });
    context.tell(PlatformEvent::Unavailable);
}
