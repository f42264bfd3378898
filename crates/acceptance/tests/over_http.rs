//! Tests of acceptance over HTTP: the platform client against the simulated platform on the loopback
//! interface.

mod support;

use std::sync::Arc;

use support::history::read_chain;
use support::{context, mesh, put, service};
use umberpond_acceptance::chain::ChainReader;
use umberpond_acceptance::{Acceptor, AcceptorSettings};
use umberpond_net::{Network, TcpNetwork};
use umberpond_standins::platform::{FaultChange, Platform};
use umberpond_store::{ClientSettings, GateLimits, PlatformClient, PlatformGate};

/// Each submission loses the response of one more write than the one before: none, one content object, up to
/// all four, and then the swap as well. Guards against a second version for a retried write.
#[tokio::test]
async fn lost_responses_over_http_never_create_a_second_version() {
    let network: Arc<dyn Network> = Arc::new(TcpNetwork);
    let platform = Platform::start(&*network, ([127, 0, 0, 1], 0).into()).await.expect("listens");
    let gate = PlatformGate::new(GateLimits::default());
    let client = PlatformClient::new(network, platform.address(), gate, ClientSettings::default());
    let acceptor = Acceptor::new(context(client.clone(), 1), AcceptorSettings::default());
    assert_eq!(put(&acceptor, 1, "mesh", mesh()).await, 1);
    for lost in 0..=6 {
        let lose_answers = Some(lost);
        platform.change_faults(&FaultChange { lose_answers, ..FaultChange::default() });
        let version = put(&acceptor, u128::from(lost) + 2, "billing", service("billing", 4)).await;
        assert_eq!(version, lost + 2);
    }
    let chain = read_chain(&ChainReader::new(Arc::new(client))).await;
    assert_eq!(chain.len(), 8);
    assert!(chain.iter().all(|link| link.leads_to_snapshot));
}
