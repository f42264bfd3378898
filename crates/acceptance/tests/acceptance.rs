//! Tests of acceptance under single faults: lost responses, delayed requests, races, outages and unknown
//! schemas.

mod support;

use std::time::Duration;

use futures_util::future::join_all;
use support::history::read_chain;
use support::{
    MESH_ID, acceptor, acceptor_with, first_swap, is_swap, mesh, name, platform_with_mesh, put, reader,
    route, service,
};
use umberpond_acceptance::{
    Abandonment, AcceptorSettings, ChainError, Change, NotAcceptedReason, Resolution, SubmitError, Winner,
};
use umberpond_config::DecodeError;
use umberpond_model::{SubmissionId, Version};
use umberpond_store::ObjectKind;
use umberpond_store::memory::{Fault, MemoryPlatform};

const ID: SubmissionId = SubmissionId(7);

#[tokio::test(start_paused = true)]
async fn a_lost_response_never_creates_a_second_version() {
    for platform in [MemoryPlatform::new(), platform_with_mesh().await] {
        let store = platform.client();
        store.set_faults(first_swap(Fault::LostResponse));
        let version = put(&acceptor(store, 1), ID.0, "mesh", mesh()).await;
        let chain = read_chain(&reader(&platform)).await;
        assert_eq!(chain.len() as u64, version);
        assert_eq!(chain.iter().filter(|link| link.submission == ID).count(), 1);
    }
}

#[tokio::test(start_paused = true)]
async fn a_repeated_submission_returns_its_version_and_a_reused_id_is_refused() {
    let platform = platform_with_mesh().await;
    let first = put(&acceptor(platform.client(), 1), ID.0, "billing", service("billing", 4)).await;
    put(&acceptor(platform.client(), 2), 8, "solver", service("solver", 4)).await;
    let other_node = acceptor(platform.client(), 3);
    assert_eq!(put(&other_node, ID.0, "billing", service("billing", 4)).await, first);
    // Each attempt seals the secrets again, so the bytes of the same submission differ.
    assert_eq!(put(&other_node, ID.0, "billing", service("billing", 5)).await, first);
    let others = [("solver", Change::Put(service("billing", 4))), ("billing", Change::Withdraw)];
    for (bundle, change) in others {
        let result = other_node.submit(ID, name(bundle), change).await;
        assert_eq!(result, Err(SubmitError::IdReused { version: Version(first) }));
    }
    assert_eq!(other_node.resolve(ID).await, Resolution::Accepted(Version(first)));
    assert_eq!(read_chain(&reader(&platform)).await.len(), 3);
}

/// Delays the first swap of a submission in the network; the platform is unreachable afterwards.
async fn platform_with_delayed_swap() -> MemoryPlatform {
    let platform = platform_with_mesh().await;
    let store = platform.client();
    let mut delayed = false;
    store.set_faults(move |info| match (delayed, is_swap(info)) {
        (true, _) => Fault::NotSent,
        (false, true) => {
            delayed = true;
            Fault::Delayed
        }
        (false, false) => Fault::None,
    });
    let change = Change::Put(service("billing", 4));
    let result = acceptor(store, 1).submit(ID, name("billing"), change).await;
    assert_eq!(result, Err(SubmitError::Unknown { submission: ID }));
    platform
}

#[tokio::test(start_paused = true)]
async fn a_swap_in_flight_is_never_reported_as_not_accepted() {
    let platform = platform_with_delayed_swap().await;
    let other = acceptor(platform.client(), 2);
    assert_eq!(other.resolve(ID).await, Resolution::Unknown);
    assert_eq!(platform.release_delayed(), 1);
    assert_eq!(other.resolve(ID).await, Resolution::Accepted(Version(2)));
}

#[tokio::test(start_paused = true)]
async fn a_delayed_swap_that_arrives_after_a_retry_changes_nothing() {
    let platform = platform_with_delayed_swap().await;
    let other = acceptor(platform.client(), 2);
    assert_eq!(put(&other, ID.0, "billing", service("billing", 4)).await, 2);
    assert_eq!(platform.release_delayed(), 0);
    assert_eq!(read_chain(&reader(&platform)).await.len(), 2);
}

#[tokio::test(start_paused = true)]
async fn an_abandoned_submission_never_becomes_a_version() {
    let platform = platform_with_delayed_swap().await;
    let other = acceptor(platform.client(), 2);
    assert_eq!(other.abandon(ID).await, Ok(Abandonment::Abandoned(Version(2))));
    assert_eq!(platform.release_delayed(), 0);
    assert_eq!(other.resolve(ID).await, Resolution::NotAccepted(Version(2)));
    let again = other.submit(ID, name("billing"), Change::Put(service("billing", 4))).await;
    assert_eq!(again, Err(SubmitError::Abandoned { version: Version(2) }));
    assert_eq!(other.abandon(MESH_ID).await, Ok(Abandonment::AlreadyAccepted(Version(1))));
}

#[tokio::test(start_paused = true)]
async fn concurrent_submissions_never_share_or_lose_a_version() {
    for same_bundle in [false, true] {
        let platform = platform_with_mesh().await;
        let operators = (0..10_u32).map(|number| {
            let store = platform.client();
            store.set_faults(|_| Fault::Slow(Duration::from_millis(5)));
            let bundle = if same_bundle { "shared".to_owned() } else { format!("bundle-{number}") };
            let content = service(&bundle, number + 1);
            async move { put(&acceptor(store, number.into()), number.into(), &bundle, content).await }
        });
        let mut versions = join_all(operators).await;
        versions.sort_unstable();
        assert_eq!(versions, (2..=11).collect::<Vec<_>>());
        assert_eq!(read_chain(&reader(&platform)).await.len(), 11);
    }
}

#[tokio::test(start_paused = true)]
async fn a_conflict_reports_the_winning_version_and_the_fault_location() {
    let platform = platform_with_mesh().await;
    put(&acceptor(platform.client(), 1), 2, "billing", service("billing", 4)).await;
    let slow = platform.client();
    slow.set_faults(|info| Fault::Slow(Duration::from_millis(if is_swap(info) { 100 } else { 1 })));
    let loser = acceptor(slow, 2);
    let referring = loser.submit(ID, name("bills"), Change::Put(route("bills", "billing")));
    let winner = acceptor(platform.client(), 3);
    let withdrawing = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        winner.submit(SubmissionId(3), name("billing"), Change::Withdraw).await
    };
    let (lost, won) = tokio::join!(referring, withdrawing);
    assert_eq!(won.expect("the withdrawal is accepted").version, Version(3));
    let Err(SubmitError::Conflict { winner, report }) = lost else { panic!("no conflict: {lost:?}") };
    assert_eq!(winner, Winner { version: Version(3), submission: SubmissionId(3) });
    assert_eq!((report.faults[0].origin.file.as_str(), report.faults[0].origin.line), ("mesh.toml", 4));
}

#[tokio::test(start_paused = true)]
async fn a_withdrawal_that_breaks_a_reference_changes_nothing() {
    let platform = platform_with_mesh().await;
    let acceptor = acceptor(platform.client(), 1);
    put(&acceptor, 2, "pages", route("pages", "archive")).await;
    let result = acceptor.submit(ID, name("mesh"), Change::Withdraw).await;
    let Err(SubmitError::Invalid(report)) = result else { panic!("not refused: {result:?}") };
    assert!(report.faults.iter().any(|fault| fault.bundle == Some(name("pages"))));
    let result = acceptor.submit(ID, name("nothing"), Change::Withdraw).await;
    let version = Version(2);
    assert_eq!(result, Err(SubmitError::NotInForce { bundle: name("nothing"), version }));
    assert_eq!(read_chain(&reader(&platform)).await.len(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_resent_swap_that_failed_does_not_decide_the_outcome_of_the_first() {
    let platform = platform_with_mesh().await;
    let store = platform.client();
    let mut swaps = 0;
    store.set_faults(move |info| {
        swaps += usize::from(is_swap(info));
        match (is_swap(info), swaps) {
            (true, 1) => Fault::Delayed,
            (true, _) => Fault::NotSent,
            (false, _) => Fault::None,
        }
    });
    let change = Change::Put(service("billing", 4));
    let result = acceptor(store, 1).submit(ID, name("billing"), change).await;
    assert_eq!(result, Err(SubmitError::Unknown { submission: ID }));
    assert_eq!(platform.release_delayed(), 1);
}

/// The platform becomes unreachable at each request in turn, in three ways. Guards against a result that
/// contradicts the chain, and against a submission that can't be repeated afterwards.
#[tokio::test(start_paused = true)]
async fn an_outage_at_any_request_never_leaves_a_partial_acceptance() {
    for (outage, swap_may_land) in
        [(Fault::NotSent, false), (Fault::LostRequest, true), (Fault::LostResponse, true)]
    {
        for index in 0..12 {
            let platform = platform_with_mesh().await;
            let store = platform.client();
            store.set_faults(move |info| match info.index {
                earlier if earlier < index => Fault::None,
                first if first == index => outage,
                _ => Fault::NotSent,
            });
            let started = tokio::time::Instant::now();
            let change = || Change::Put(service("billing", 4));
            let result = acceptor(store, index).submit(ID, name("billing"), change()).await;
            assert!(started.elapsed() <= AcceptorSettings::default().deadline);
            let committed = read_chain(&reader(&platform)).await.len() == 2;
            match result {
                Ok(accepted) => assert!(committed && accepted.version == Version(2)),
                Err(SubmitError::NotAccepted { reason, .. }) => {
                    assert_eq!(reason, NotAcceptedReason::PlatformUnavailable);
                    assert!(!committed);
                }
                Err(SubmitError::Unknown { submission }) => assert!(swap_may_land && submission == ID),
                other => panic!("unexpected result {other:?}"),
            }
            assert_eq!(
                put(&acceptor(platform.client(), 99), ID.0, "billing", service("billing", 4)).await,
                2
            );
            assert_eq!(read_chain(&reader(&platform)).await.len(), 2);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn an_unknown_schema_is_reported_and_never_overwritten() {
    let platform = platform_with_mesh().await;
    let newer = [9, 1, 2, 3];
    platform.overwrite(ObjectKind::Head, "head", newer.to_vec().into());
    let before = platform.objects(ObjectKind::Head);
    let result = acceptor(platform.client(), 1).submit(ID, name("mesh"), Change::Withdraw).await;
    let Err(SubmitError::NotAccepted { reason, .. }) = result else { panic!("not refused: {result:?}") };
    let unknown = DecodeError::UnknownSchema { found: 9 };
    assert_eq!(reason, NotAcceptedReason::Chain(ChainError::Head(unknown)));
    assert_eq!(platform.objects(ObjectKind::Head), before);
}

#[tokio::test(start_paused = true)]
async fn submissions_over_the_concurrency_limit_are_refused_immediately() {
    let platform = platform_with_mesh().await;
    let store = platform.client();
    store.set_faults(|_| Fault::Slow(Duration::from_millis(5)));
    let acceptor = acceptor_with(store, 1, AcceptorSettings { max_concurrent: 1, ..Default::default() });
    let one = acceptor.submit(ID, name("mesh"), Change::Put(mesh()));
    let two = acceptor.submit(SubmissionId(8), name("mesh"), Change::Put(mesh()));
    let (one, two) = tokio::join!(one, two);
    assert!(one.is_ok());
    assert!(matches!(two, Err(SubmitError::NotAccepted { reason: NotAcceptedReason::Busy, .. })));
}
